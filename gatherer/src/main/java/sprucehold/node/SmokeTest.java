package sprucehold.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
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
 * Starts a gatherer with stubs of discovery and of its shard servers on free ports of this machine,
 * and sends it one query of each query class.
 */
public final class SmokeTest {
    private static final String HOST = "127.0.0.1";
    private static final long TIMEOUT_S = 20;
    private static final long READY_CHECK_INTERVAL_MS = 10;
    private static final int QUERY_TIMEOUT_MS = 5000;
    private static final String QUERY_BODY =
            "{\"buckets\":[{\"bucket\":0,\"part\":1.0}],\"body\":\"c41e77d0\"}";
    private static final int HTTP_OK = 200;

    private final Vertx vertx;
    private final NodeConfig config;
    private final Consumer<String> report;

    private SmokeTest(Vertx vertx, NodeConfig config, Consumer<String> report) {
        this.vertx = vertx;
        this.config = config;
        this.report = report;
    }

    /**
     * Runs the test and returns whether each query was completed.
     *
     * @param report receives one line for each answer
     * @throws StartFailedException if the gatherer or a stub can't be started, or the test times
     *     out
     */
    public static boolean run(
            NodeConfig config, DecisionPolicy.Factory policyFactory, Consumer<String> report)
            throws StartFailedException {
        Service.requireKnownEndpoints(config);
        WarmUp.run(config, policyFactory);
        // Runs both kinds of warm-up: the class data archive is recorded in this run, and has to
        // contain the classes of whichever kind the target platform supports.
        StubWarmUp.run(config, policyFactory);
        Vertx vertx = Service.vertx();
        var test = new SmokeTest(vertx, config, report);
        var done = new CompletableFuture<Boolean>();
        vertx.runOnContext(
                none ->
                        test.run(policyFactory)
                                .onComplete(done::complete, done::completeExceptionally));
        try {
            return done.get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new StartFailedException(String.valueOf(e.getMessage()), e);
        } catch (InterruptedException e) {
            throw new StartFailedException("interrupted", e);
        } finally {
            vertx.close();
        }
    }

    private Future<Boolean> run(DecisionPolicy.Factory policyFactory) {
        return StandIns.start(vertx, HOST, 0, config.knownEndpoints().servers(), true)
                .compose(
                        discovery -> {
                            var node = new GathererNode(vertx, configAt(discovery), policyFactory);
                            return node.start()
                                    .compose(
                                            port ->
                                                    whenReady(node)
                                                            .compose(ready -> sendQueries(port)))
                                    .compose(
                                            completed ->
                                                    node.end(DrainSchedule.IMMEDIATE)
                                                            .map(completed));
                        });
    }

    /**
     * Returns the configuration without its endpoint list, so that the gatherer requests the
     * complete list from discovery.
     */
    private NodeConfig configAt(int discoveryPort) {
        return new NodeConfig(
                config.name(),
                new NodeConfig.Address(HOST, 0),
                new NodeConfig.Address(HOST, discoveryPort),
                config.seed(),
                config.maxDescriptors(),
                null,
                config.settings());
    }

    private Future<Void> whenReady(GathererNode node) {
        return node.ready()
                ? Future.succeededFuture()
                : vertx.timer(READY_CHECK_INTERVAL_MS).compose(waited -> whenReady(node));
    }

    /** Sends the queries one after the other; returns whether all were completed. */
    private Future<Boolean> sendQueries(int port) {
        HttpClient client = vertx.createHttpClient();
        Future<Boolean> completed = Future.succeededFuture(true);
        int number = 0;
        for (QueryClass queryClass : config.settings().deployment().queryClasses()) {
            String id = "rehearsal-" + number++;
            String name = queryClass.name();
            completed =
                    completed.compose(
                            allCompleted ->
                                    send(client, port, id, name)
                                            .compose(response -> report(name, response))
                                            .map(thisCompleted -> allCompleted && thisCompleted));
        }
        return completed;
    }

    private static Future<HttpClientResponse> send(
            HttpClient client, int port, String id, String queryClass) {
        return client.request(HttpMethod.POST, port, HOST, "/" + queryClass)
                .compose(
                        request ->
                                request.putHeader("X-Request-Id", id)
                                        .putHeader("X-Class", queryClass)
                                        .putHeader(
                                                "X-Deadline-Ms", String.valueOf(QUERY_TIMEOUT_MS))
                                        .send(Buffer.buffer(QUERY_BODY)));
    }

    private Future<Boolean> report(String queryClass, HttpClientResponse response) {
        return response.body()
                .map(
                        body -> {
                            report.accept(
                                    queryClass
                                            + ": "
                                            + response.statusCode()
                                            + " "
                                            + body.toString().strip());
                            return response.statusCode() == HTTP_OK;
                        });
    }
}
