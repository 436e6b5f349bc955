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

/** How a whole gatherer ends. */
public class GracefulShutdownTest extends GathererTestBed {
    @Test
    public void gathererThatIsToldToEndBeforeItListensNeverListens() throws Exception {
        var calls = new LinkedBlockingQueue<HttpServerRequest>();
        Begun begun =
                begin(
                        asking(calls, new NodeConfig.Address("127.0.0.1", 0)),
                        (seed, deployment) -> (now, events) -> List.of(),
                        List.of());
        HttpServerRequest call = calls.poll(10, TimeUnit.SECONDS);
        // Nothing is owed to anybody, so it doesn't serve on.
        end(begun.node(), new DrainSchedule(60_000, 60_000, 90_000));
        call.response().end("{\"index\":9,\"snapshot\":true,\"endpoints\":[]}");
        assertThrows(ExecutionException.class, () -> await(begun.start()));
        assertFalse(begun.node().ready());
    }

    @Test
    public void whoIsToldToEndTwiceEndsOnceAndAsItWasToldFirst() throws Exception {
        GathererNode node =
                node((seed, deployment) -> (now, events) -> List.of(), PLACE, SETTINGS, KNOWN);
        assertTrue(
                loop.call(
                        () ->
                                node.end(DrainSchedule.IMMEDIATE)
                                        == node.end(new DrainSchedule(60_000, 60_000, 60_000))));
        end(node, DrainSchedule.IMMEDIATE);
    }

    @Test
    public void gathererThatEndsAnswersWhatItReceivedAndRejectsWhatComesTooLate() throws Exception {
        var taken = new CompletableFuture<Void>();
        var late = new CompletableFuture<Integer>();
        var between = new CompletableFuture<Double>();
        // The first query is held until the late one has its answer; the late one isn't asked
        // about.
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
                                    taken.complete(null);
                                }
                            }
                            return !taken.isDone()
                                    ? List.of()
                                    : List.of(
                                            late.isDone()
                                                    ? new Command.FailQuery("s")
                                                    : new Command.ScheduleWakeUp(10));
                        };
        GathererNode node = node(factory, PLACE, SETTINGS, KNOWN);
        assertTrue(node.ready());
        Future<Integer> status = ask("s");
        taken.get(10, TimeUnit.SECONDS);
        var lingered = new CompletableFuture<Void>();
        var ended = new CompletableFuture<Void>();
        vertx.runOnContext(
                none -> {
                    node.end(new DrainSchedule(2000, 2200, 9000))
                            .onComplete(ended::complete, ended::completeExceptionally);
                    vertx.setTimer(2300, timer -> lingered.complete(null));
                });
        // Who is told to leave serves on for a while, but promises no answer for when it may have
        // been killed.
        assertEquals((int) await(ask("between")), 503);
        assertTrue(between.get() <= 8800, String.valueOf(between));
        lingered.get(10, TimeUnit.SECONDS);
        assertFalse(node.ready());
        late.complete(await(ask("late")));
        ended.get(10, TimeUnit.SECONDS);
        assertEquals((int) late.get(), 503);
        assertEquals((int) await(status), 502);
    }
}
