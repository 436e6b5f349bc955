package sprucehold.sockets;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * Has an event loop wait for its next timer in whole milliseconds, rounded up. The system's wait
 * takes whole milliseconds; Netty's own handler rounds to the nearest one, and polls its sockets
 * without a pause for the last half millisecond before each timer. On a spent share of a core that
 * polling is what holds the process up.
 */
final class RoundedUpWaits implements IoHandler {
    private static final long NANOS_PER_MS = 1_000_000;

    private final IoHandler delegate;

    private RoundedUpWaits(IoHandler sockets) {
        this.delegate = sockets;
    }

    /** Makes handlers that wait so around those of another factory. */
    static IoHandlerFactory around(IoHandlerFactory factory) {
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor loop) {
                return new RoundedUpWaits(factory.newHandler(loop));
            }

            @Override
            public boolean isChangingThreadSupported() {
                return factory.isChangingThreadSupported();
            }
        };
    }

    /**
     * The wait for a timer that is due in so many nanoseconds: never shorter, under a millisecond
     * longer; none where it is due.
     */
    static long roundedUp(long nanos) {
        if (nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MS) {
            return nanos;
        }
        return (nanos + NANOS_PER_MS - 1) / NANOS_PER_MS * NANOS_PER_MS;
    }

    private record Waits(IoHandlerContext loop) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundedUp(loop.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return loop.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            loop.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return loop.shouldReportActiveIoTime();
        }
    }

    @Override
    public int run(IoHandlerContext loop) {
        return delegate.run(new Waits(loop));
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }
}
