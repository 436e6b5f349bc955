package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;

/** Tests of the shutdown of a whole gatherer. */
public class GracefulShutdownTest extends GathererTestBed {
    @Test
    public void gathererThatEndsBeforeListeningNeverListens() throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        StartingNode starting =
                startAsync(
                        configWithDiscovery(calls, new NodeConfig.Address("127.0.0.1", 0)),
                        (seed, deployment) -> (now, events) -> List.of(),
                        List.of());
        HttpServerRequest call = calls.poll(10, TimeUnit.SECONDS);
        // No client waits for an answer, so the gatherer ends without a drain.
        end(starting.node(), new DrainSchedule(60_000, 60_000, 90_000));
        call.response().end("{\"index\":9,\"snapshot\":true,\"endpoints\":[]}");
        assertThrows(ExecutionException.class, () -> await(starting.start()));
        assertFalse(starting.node().ready());
    }

    @Test
    public void secondEndReturnsFutureOfFirstAndKeepsItsSchedule() throws Exception {
        GathererNode node =
                startNode(
                        (seed, deployment) -> (now, events) -> List.of(),
                        NODE_FIELDS,
                        SETTINGS,
                        KNOWN_ENDPOINTS);
        assertTrue(
                loop.call(
                        () ->
                                node.end(DrainSchedule.IMMEDIATE)
                                        == node.end(new DrainSchedule(60_000, 60_000, 60_000))));
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void drainingGathererAnswersReceivedQueriesAndRejectsLateOnes() throws Exception {
        var received = new CompletableFuture<Void>();
        var late = new CompletableFuture<Integer>();
        var between = new CompletableFuture<Double>();
        // The policy keeps the first query open until the late one has its answer; the late one
        // doesn't reach the policy.
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            for (Event event : events) {
                                if (event instanceof Event.QueryReceived query
                                        && query.id().equals("between")) {
                                    between.complete(query.timeLeftMs());
                                    return List.of(
                                            new Command.RejectQuery("between", 0),
                                            new Command.ScheduleWakeUp(10));
                                } else if (event instanceof Event.QueryReceived query) {
                                    assertEquals(query.id(), "s");
                                    received.complete(null);
                                }
                            }
                            return !received.isDone()
                                    ? List.of()
                                    : List.of(
                                            late.isDone()
                                                    ? new Command.FailQuery("s")
                                                    : new Command.ScheduleWakeUp(10));
                        };
        GathererNode node = startNode(factory, NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
        assertTrue(node.ready());
        Future<Integer> status = sendQuery("s");
        received.get(10, TimeUnit.SECONDS);
        var rejecting = new CompletableFuture<Void>();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none -> {
                    node.end(new DrainSchedule(2000, 2200, 9000))
                            .onComplete(ended::complete, ended::completeExceptionally);
                    vertx.setTimer(2300, timer -> rejecting.complete(null));
                });
        // A gatherer that drains still serves for a while, but reduces the time left of a query so
        // that the answer is sent before the process may be killed.
        assertEquals((int) await(sendQuery("between")), 503);
        assertTrue(between.get() <= 8800, String.valueOf(between));
        rejecting.get(10, TimeUnit.SECONDS);
        assertFalse(node.ready());
        late.complete(await(sendQuery("late")));
        ended.get(10, TimeUnit.SECONDS);
        assertEquals((int) late.get(), 503);
        assertEquals((int) await(status), 502);
    }
}
