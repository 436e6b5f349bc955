package sprucehold.sockets;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.ThreadAwareExecutor;

/**
 * I/O handler whose event loop rounds the wait for its next timer up to whole milliseconds. The
 * system call takes its timeout in whole milliseconds. Netty's own handler rounds to the nearest
 * millisecond, and so polls its sockets without a pause for up to the last half millisecond before
 * each timer. Where the process gets only a share of a CPU core, this polling uses up the share,
 * and the process is then not scheduled for a while.
 */
final class RoundedUpWaits implements IoHandler {
    private static final long NANOS_PER_MS = 1_000_000;

    private final IoHandler delegate;

    private RoundedUpWaits(IoHandler delegate) {
        this.delegate = delegate;
    }

    /**
     * Returns a factory that wraps the handlers of another factory so that they round up their
     * waits.
     */
    static IoHandlerFactory wrap(IoHandlerFactory factory) {
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
     * Returns the wait, in nanoseconds, for a timer that expires in the given number of
     * nanoseconds. The wait is never shorter than that and less than a millisecond longer. A timer
     * that has expired gets no wait.
     */
    static long roundUpToMillis(long nanos) {
        if (nanos <= 0 || nanos > Long.MAX_VALUE - NANOS_PER_MS) {
            return nanos;
        }
        return (nanos + NANOS_PER_MS - 1) / NANOS_PER_MS * NANOS_PER_MS;
    }

    private record RoundingContext(IoHandlerContext loop) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return loop.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundUpToMillis(loop.delayNanos(currentTimeNanos));
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
        return delegate.run(new RoundingContext(loop));
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
