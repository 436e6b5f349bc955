package sprucehold.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.util.concurrent.ThreadAwareExecutor;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how the transport's event loop waits for its timers. */
public class RoundedUpWaitsTest {
    /**
     * Time until the timer expires, in nanoseconds. It is under half a millisecond, for which
     * Netty's own handler does not wait at all.
     */
    private static final long EXPIRES_IN_NANOS = 400_000;

    private static final int PASSES = 50;

    private IoHandler handler;

    @BeforeMethod
    public void open() {
        handler =
                new RetryingAcceptTransport()
                        .implementation()
                        .ioHandlerFactory()
                        .newHandler(
                                new ThreadAwareExecutor() {
                                    @Override
                                    public boolean isExecutorThread(Thread thread) {
                                        return true;
                                    }

                                    @Override
                                    public void execute(Runnable task) {
                                        task.run();
                                    }
                                });
        handler.initialize();
    }

    @AfterMethod
    public void close() {
        handler.prepareToDestroy();
        handler.destroy();
    }

    /** An event loop whose only work is a timer that expires at a given {@link System#nanoTime}. */
    private record PendingTimer(long deadlineNanos) implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long nowNanos) {
            return Math.max(0, deadlineNanos - nowNanos);
        }
    }

    @Test
    public void passWithoutWorkLastsUntilTheNextTimerExpires() {
        for (int i = 0; i < PASSES; i++) {
            long expiresAt = System.nanoTime() + EXPIRES_IN_NANOS;
            handler.run(new PendingTimer(expiresAt));
            long early = expiresAt - System.nanoTime();
            assertTrue(
                    early <= 0,
                    "pass "
                            + i
                            + " ended "
                            + early
                            + " ns before its timer expired, so the loop polls until then");
        }
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {
            {Long.MIN_VALUE, Long.MIN_VALUE},
            {-1, -1},
            {0, 0},
            {1, 1_000_000},
            {999_999, 1_000_000},
            {1_000_000, 1_000_000},
            {1_000_001, 2_000_000},
            {Long.MAX_VALUE - 999_999, Long.MAX_VALUE - 999_999},
            {Long.MAX_VALUE, Long.MAX_VALUE},
        };
    }

    @Test(dataProvider = "waits")
    public void waitIsRoundedUpAndSkippedForAnExpiredTimer(long expiresInNanos, long waitNanos) {
        assertEquals(RoundedUpWaits.roundUpToMillis(expiresInNanos), waitNanos);
    }
}
