package sprucehold.node;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.port.Gatherer;

/** The process around a node: its event loop, and its end on a signal. */
public final class Service {
    private static final Logger LOG = Logger.getLogger(Service.class.getName());
    /** As long as requests may still come after the signal and have to be answered. */
    private static final long LINGER_MS = 700;

    private Service() {
    }

    /** Serves until the process is ended; returns once it serves. */
    public static void start(Seat seat, Gatherer.Factory factory) throws StartFailedException {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1));
        var started = new CompletableFuture<Node>();
        vertx.runOnContext(none -> {
            try {
                var node = new Node(vertx, seat, factory);
                node.start().onComplete(done -> started.complete(node), started::completeExceptionally);
            } catch (RuntimeException e) {
                started.completeExceptionally(e);
            }
        });
        try {
            Node node = started.get();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(vertx, node, seat), "end"));
        } catch (ExecutionException e) {
            throw new StartFailedException(String.valueOf(e.getCause().getMessage()));
        } catch (InterruptedException e) {
            throw new StartFailedException("interrupted");
        }
    }

    /** Runs on the hook's own thread, and only waits there for what the event loop does. */
    private static void end(Vertx vertx, Node node, Seat seat) {
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(none -> node.end(LINGER_MS).onComplete(ended::complete, ended::completeExceptionally));
        try {
            ended.get(LINGER_MS + (long) seat.facts().longestTimeoutMs() + 1000, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.WARNING, "ended before all was answered", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The gatherer can't be started. */
    public static final class StartFailedException extends Exception {
        private static final long serialVersionUID = 1L;

        StartFailedException(String message) {
            super(message);
        }
    }
}
