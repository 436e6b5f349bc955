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

/** What an extension of a gatherer hears and permits. */
public class NodeExtensionsTest extends GathererTestBed {
    /**
     * Grants units to so many attempts, or withdraws them again before the write, and records its
     * calls.
     */
    private static final class LendingExtension implements NodeExtension {
        final List<String> heard = new ArrayList<>();
        int units;
        boolean withdrawn;
        boolean panics;
        ClusterView next;

        @Override
        public String name() {
            return "lender";
        }

        @Override
        public Future<Void> start() {
            heard.add("start");
            return Future.succeededFuture();
        }

        @Override
        public void queryReceived(double nowMs, Query query) {
            heard.add("taken " + query.id());
        }

        @Override
        public void observed(double nowMs, Observation observation) {
            if (observation instanceof Observation.AttemptEnded ended) {
                heard.add("ended " + ended.result().getClass().getSimpleName());
            }
        }

        @Override
        public void attemptStarting(double nowMs, Attempt attempt) {
            heard.add("sent " + attempt.partId());
            if (panics) {
                throw new IllegalStateException("scripted");
            }
        }

        @Override
        public ClusterView clusterView(double nowMs) {
            ClusterView told = next;
            next = null;
            return told;
        }

        @Override
        public BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance use) {
            units -= use.units();
            return units < 0 ? null : () -> !withdrawn;
        }

        @Override
        public JsonNode status() {
            return new ObjectMapper().createObjectNode();
        }

        @Override
        public Future<Void> end() {
            heard.add("end");
            return Future.succeededFuture();
        }
    }

    @DataProvider
    Object[][] allowances() {
        return new Object[][] {
            // units it has, whether it withdraws them before the write, how the attempt that
            // takes one ends, what it hears
            {
                1,
                false,
                AttemptOutcome.COMPLETED,
                List.of("start", "taken s", "sent s.0", "ended Completed", "end")
            },
            {
                0,
                false,
                AttemptOutcome.NEVER_SENT,
                List.of("start", "taken s", "ended Cancelled", "end")
            },
            {
                1,
                true,
                AttemptOutcome.NEVER_SENT,
                List.of("start", "taken s", "sent s.0", "ended Cancelled", "end")
            },
        };
    }

    @Test(dataProvider = "allowances")
    public void allowanceOfAnAttemptIsConsumedAndAskedForAgainBeforeItsWrite(
            int units, boolean withdrawn, AttemptOutcome outcome, List<String> heard)
            throws Exception {
        var extension = new LendingExtension();
        extension.units = units;
        extension.withdrawn = withdrawn;
        extension.next = new ClusterView(3, Map.of(SharedLimit.RETRIES, units), Map.of());
        var outcomes = new CompletableFuture<AttemptOutcome>();
        var told = new CompletableFuture<ClusterView>();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.ClusterViewChanged changed) {
                                    told.complete(changed.view());
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
        NodeConfig config = config(PLACE, SETTINGS, KNOWN);
        int discovery =
                await(
                        StandIns.start(
                                vertx, "127.0.0.1", 0, config.knownEndpoints().servers(), true));
        GathererNode node =
                await(
                        begin(
                                        new NodeConfig(
                                                "n",
                                                config.listen(),
                                                new NodeConfig.Address("127.0.0.1", discovery),
                                                5,
                                                config.maxDescriptors(),
                                                null,
                                                config.settings()),
                                        factory,
                                        List.of((on, at, clock) -> extension))
                                .start());
        loop.until(node::ready);
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
                told.get(10, TimeUnit.SECONDS),
                new ClusterView(3, Map.of(SharedLimit.RETRIES, units), Map.of()));
        end(node, DrainSchedule.IMMEDIATE);
        assertEquals(extension.heard, heard);
    }

    @Test
    public void commandThatFailsLosesNoAnswer() throws Exception {
        var extension = new LendingExtension();
        extension.panics = true;
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
                        begin(
                                        config(PLACE, SETTINGS, KNOWN),
                                        factory,
                                        List.of((on, at, clock) -> extension))
                                .start());
        Socket owed = ask(port, "s");
        loop.until(() -> extension.heard.contains("taken s"));
        Socket other = ask(port, "t");
        assertEquals(
                owed.getInputStream().readNBytes(12),
                "HTTP/1.1 503".getBytes(StandardCharsets.US_ASCII));
        assertTrue(extension.heard.contains("sent t.0"));
        owed.close();
        other.close();
        end(node, DrainSchedule.IMMEDIATE);
    }
}
