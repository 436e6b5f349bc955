package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;
import sprucehold.decision.SharedLimit;
import sprucehold.standin.StandIns;

/** Tests of the calls of an extension by a gatherer, and of the permits that it grants. */
public class NodeExtensionsTest extends GathererTestBed {
    /**
     * Extension that grants a limited number of units to attempts, may withdraw them before the
     * write, and records its calls.
     */
    private static final class ScriptedExtension implements NodeExtension {
        final List<String> calls = new ArrayList<>();
        int units;
        boolean withdrawn;
        boolean throwing;
        ClusterView nextView;

        @Override
        public String name() {
            return "scripted";
        }

        @Override
        public Future<Void> start() {
            calls.add("start");
            return Future.succeededFuture();
        }

        @Override
        public void queryReceived(double nowMs, Query query) {
            calls.add("received " + query.id());
        }

        @Override
        public void observed(double nowMs, Observation observation) {
            if (observation instanceof Observation.AttemptEnded ended) {
                calls.add("ended " + ended.result().getClass().getSimpleName());
            }
        }

        @Override
        public void attemptStarting(double nowMs, Attempt attempt) {
            calls.add("sent " + attempt.partId());
            if (throwing) {
                throw new IllegalStateException("scripted");
            }
        }

        @Override
        public ClusterView clusterView(double nowMs) {
            ClusterView view = nextView;
            nextView = null;
            return view;
        }

        @Override
        public BooleanSupplier consumeAllowance(
                double nowMs, Command.ConsumeAllowance consumption) {
            units -= consumption.units();
            return units < 0 ? null : () -> !withdrawn;
        }

        @Override
        public JsonNode status() {
            return new ObjectMapper().createObjectNode();
        }

        @Override
        public Future<Void> stop() {
            calls.add("end");
            return Future.succeededFuture();
        }
    }

    @DataProvider
    Object[][] allowances() {
        return new Object[][] {
            // available units, whether they are withdrawn before the write, outcome of the attempt
            // that needs one unit, recorded calls of the extension
            {
                1,
                false,
                AttemptOutcome.COMPLETED,
                List.of("start", "received s", "sent s.0", "ended Completed", "end")
            },
            {
                0,
                false,
                AttemptOutcome.NEVER_SENT,
                List.of("start", "received s", "ended Cancelled", "end")
            },
            {
                1,
                true,
                AttemptOutcome.NEVER_SENT,
                List.of("start", "received s", "sent s.0", "ended Cancelled", "end")
            },
        };
    }

    @Test(dataProvider = "allowances")
    public void allowanceOfAttemptIsConsumedAndCheckedAgainBeforeWrite(
            int units, boolean withdrawn, AttemptOutcome outcome, List<String> calls)
            throws Exception {
        var extension = new ScriptedExtension();
        extension.units = units;
        extension.withdrawn = withdrawn;
        extension.nextView = new ClusterView(3, Map.of(SharedLimit.RETRIES, units), Map.of());
        var outcomes = new CompletableFuture<AttemptOutcome>();
        var receivedView = new CompletableFuture<ClusterView>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.ClusterViewChanged changed) {
                                    receivedView.complete(changed.view());
                                } else if (event instanceof Event.PartReceived part) {
                                    commands.add(
                                            new Command.ConsumeAllowance(SharedLimit.RETRIES, 1));
                                    commands.add(new Command.SendAttempt(part.id(), "a", 5000));
                                } else if (event instanceof Event.AttemptEnded ended) {
                                    outcomes.complete(ended.outcome());
                                    commands.add(new Command.AnswerQuery("s", true));
                                }
                            }
                            return commands;
                        };
        NodeConfig config = config(NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        int discovery =
                await(
                        StandIns.start(
                                vertx, "127.0.0.1", 0, config.knownEndpoints().servers(), true));
        GathererNode node =
                await(
                        startAsync(
                                        new NodeConfig(
                                                "n",
                                                config.listen(),
                                                new NodeConfig.Address("127.0.0.1", discovery),
                                                5,
                                                config.maxDescriptors(),
                                                null,
                                                config.settings()),
                                        factory,
                                        List.of((nodeVertx, nodeConfig, clock) -> extension))
                                .start());
        loop.awaitCondition(node::ready);
        HttpClient client = vertx.createHttpClient();
        await(
                client.request(HttpMethod.POST, port, "127.0.0.1", "/q")
                        .compose(
                                request ->
                                        request.putHeader("X-Request-Id", "s")
                                                .putHeader("X-Class", "q")
                                                .putHeader("X-Deadline-Ms", "3000")
                                                .send(
                                                        "{\"buckets\":[{\"bucket\":0,\"part\":1.0}],\"body\":\"c4\"}"))
                        .compose(response -> response.body()));
        assertEquals(outcomes.get(10, TimeUnit.SECONDS), outcome);
        assertEquals(
                receivedView.get(10, TimeUnit.SECONDS),
                new ClusterView(3, Map.of(SharedLimit.RETRIES, units), Map.of()));
        end(node, DrainSchedule.IMMEDIATE);
        assertEquals(extension.calls, calls);
    }

    @Test
    public void failedCommandDoesNotPreventAnswersOfOthers() throws Exception {
        var extension = new ScriptedExtension();
        extension.throwing = true;
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            boolean second =
                                    events.stream()
                                            .anyMatch(
                                                    event ->
                                                            event instanceof Event.PartReceived part
                                                                    && part.id().equals("t.0"));
                            return second
                                    ? List.of(
                                            new Command.SendAttempt("t.0", "a", 5000),
                                            new Command.RejectQuery("s", 0))
                                    : List.of();
                        };
        GathererNode node =
                await(
                        startAsync(
                                        config(NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS),
                                        factory,
                                        List.of((nodeVertx, nodeConfig, clock) -> extension))
                                .start());
        Socket pending = sendQuery(port, "s");
        loop.awaitCondition(() -> extension.calls.contains("received s"));
        Socket other = sendQuery(port, "t");
        assertEquals(
                pending.getInputStream().readNBytes(12),
                "HTTP/1.1 503".getBytes(StandardCharsets.US_ASCII));
        assertTrue(extension.calls.contains("sent t.0"));
        pending.close();
        other.close();
        end(node, DrainSchedule.IMMEDIATE);
    }
}
