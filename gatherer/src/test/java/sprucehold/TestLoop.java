package sprucehold;

import static org.testng.Assert.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Event loop of the code under test, controlled from the test's thread. Every wait has a timeout,
 * after which the test fails.
 */
public final class TestLoop {
    private final Context context;

    public TestLoop(Vertx vertx) {
        this.context = vertx.getOrCreateContext();
    }

    /** Submits work to the loop without waiting for it. */
    public void run(Runnable work) {
        context.runOnContext(none -> work.run());
    }

    /** Runs work on the loop and returns its result. */
    public <T> T call(Callable<T> work) throws Exception {
        var done = new CompletableFuture<T>();
        run(
                () -> {
                    try {
                        done.complete(work.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(10, TimeUnit.SECONDS);
    }

    /** Runs work on the loop and waits until it has run. */
    public void runAndWait(Runnable work) throws Exception {
        call(
                () -> {
                    work.run();
                    return null;
                });
    }

    /** Waits until a condition, which is evaluated on the loop, is true. */
    public void awaitCondition(BooleanSupplier condition) throws Exception {
        double end = System.nanoTime() + 10e9;
        while (!call(condition::getAsBoolean)) {
            assertTrue(System.nanoTime() < end, "condition not met within 10 s");
        }
    }

    /**
     * Blocks the loop until the returned action is run. The loop then runs {@code then} before it
     * reads its sockets again.
     */
    public Runnable block(Runnable then) throws InterruptedException {
        var blocked = new CountDownLatch(1);
        var released = new CountDownLatch(1);
        run(
                () -> {
                    blocked.countDown();
                    try {
                        released.await(10, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    then.run();
                });
        assertTrue(blocked.await(10, TimeUnit.SECONDS));
        return released::countDown;
    }
}
