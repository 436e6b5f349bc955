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
 * The event loop that what is tested runs on, asked from the test's own thread. Every wait ends, in
 * failure if need be.
 */
public final class TestLoop {
    private final Context context;

    public TestLoop(Vertx vertx) {
        this.context = vertx.getOrCreateContext();
    }

    /** Runs it on the loop, some time. */
    public void run(Runnable work) {
        context.runOnContext(none -> work.run());
    }

    /** Runs it on the loop and returns what it returned. */
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

    /** Runs it on the loop and waits until it has run. */
    public void act(Runnable work) throws Exception {
        call(
                () -> {
                    work.run();
                    return null;
                });
    }

    /** Waits until something holds on the loop. */
    public void until(BooleanSupplier holds) throws Exception {
        double end = System.nanoTime() + 10e9;
        while (!call(holds::getAsBoolean)) {
            assertTrue(System.nanoTime() < end, "it does not come to hold");
        }
    }

    /**
     * Has the loop stand still until what is returned is run, and then do this before it looks at
     * its sockets.
     */
    public Runnable hold(Runnable then) throws InterruptedException {
        var held = new CountDownLatch(1);
        var free = new CountDownLatch(1);
        run(
                () -> {
                    held.countDown();
                    try {
                        free.await(10, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    then.run();
                });
        assertTrue(held.await(10, TimeUnit.SECONDS));
        return free::countDown;
    }
}
