package sprucehold.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.QueryClass;
import sprucehold.standin.StandIns;

/**
 * Starts a gatherer among stand-ins on free ports of this machine and asks it for a scan of each
 * table type.
 */
public final class SmokeTest {
    private static final String HOST = "127.0.0.1";

    private SmokeTest() {}

    /** Returns whether each scan was answered whole; {@code line} takes what happened. */
    public static boolean run(
            NodeConfig config, DecisionPolicy.Factory factory, Consumer<String> line)
            throws Service.StartFailedException {
        if (config.knownEndpoints() == null) {
            throw new Service.StartFailedException("no known list to stand in for");
        }
        WarmUp.run(config, factory);
        // Both ways of warming up, whichever the platform will grant: the archive of loaded classes
        // is made of this run.
        StubWarmUp.run(config, factory);
        Vertx vertx = Service.vertx();
        var done = new CompletableFuture<Boolean>();
        vertx.runOnContext(
                none ->
                        StandIns.start(vertx, HOST, 0, config.knownEndpoints().servers(), true)
                                .compose(
                                        discovery -> {
                                            // Begun without a list, so that the whole one is asked
                                            // for.
                                            var moved =
                                                    new NodeConfig(
                                                            config.name(),
                                                            new NodeConfig.Address(HOST, 0),
                                                            new NodeConfig.Address(HOST, discovery),
                                                            config.seed(),
                                                            config.maxDescriptors(),
                                                            null,
                                                            config.settings());
                                            var node = new GathererNode(vertx, moved, factory);
                                            return node.start()
                                                    .compose(
                                                            port ->
                                                                    whenReady(vertx, node)
                                                                            .compose(
                                                                                    ready ->
                                                                                            ask(
                                                                                                    vertx,
                                                                                                    config,
                                                                                                    port,
                                                                                                    line)))
                                                    .compose(
                                                            whole ->
                                                                    node.end(
                                                                                    DrainSchedule
                                                                                            .IMMEDIATE)
                                                                            .map(whole));
                                        })
                                .onComplete(done::complete, done::completeExceptionally));
        try {
            return done.get(20, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new Service.StartFailedException(String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            throw new Service.StartFailedException("interrupted");
        } finally {
            vertx.close();
        }
    }

    private static Future<Void> whenReady(Vertx vertx, GathererNode node) {
        return node.ready()
                ? Future.succeededFuture()
                : vertx.timer(10).compose(waited -> whenReady(vertx, node));
    }

    private static Future<Boolean> ask(
            Vertx vertx, NodeConfig config, int port, Consumer<String> line) {
        HttpClient client = vertx.createHttpClient();
        Future<Boolean> whole = Future.succeededFuture(true);
        int number = 0;
        for (QueryClass type : config.settings().deployment().queryClasses()) {
            String id = "rehearsal-" + number++;
            whole =
                    whole.compose(
                            before ->
                                    client.request(HttpMethod.POST, port, HOST, "/" + type.name())
                                            .compose(
                                                    request ->
                                                            request.putHeader("X-Request-Id", id)
                                                                    .putHeader(
                                                                            "X-Class", type.name())
                                                                    .putHeader(
                                                                            "X-Deadline-Ms", "5000")
                                                                    .send(
                                                                            Buffer.buffer(
                                                                                    "{\"buckets\":[{\"bucket\":0,\"part\":1.0}],\"body\":\"c41e77d0\"}")))
                                            .compose(
                                                    response ->
                                                            response.body()
                                                                    .map(
                                                                            body -> {
                                                                                line.accept(
                                                                                        type.name()
                                                                                                + ": "
                                                                                                + response
                                                                                                        .statusCode()
                                                                                                + " "
                                                                                                + body.toString()
                                                                                                        .strip());
                                                                                return before
                                                                                        && response
                                                                                                        .statusCode()
                                                                                                == 200;
                                                                            })));
        }
        return whole;
    }
}
