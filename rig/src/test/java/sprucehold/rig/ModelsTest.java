package sprucehold.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import sprucehold.rig.list.Agent;
import sprucehold.rig.list.ServerList;
import sprucehold.rig.load.RetryBehaviour;
import sprucehold.rig.load.SiteBalancer;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.rig.server.ServerModel;
import sprucehold.rig.server.ServerModel.Effect;

/**
 * Tests the models of shard servers, discovery, fronts and clients without sockets, in virtual
 * time.
 */
public class ModelsTest {
    private static final Object LINK = new Object();

    private static ServerModel.Arrival part(int number, String gatherer, String type) {
        return new ServerModel.Arrival(
                LINK, gatherer, "s" + number + ".1", "s" + number, 1, type, 1000);
    }

    private static ServerModel model(double startedMs) {
        return new ServerModel("s-a-0-0", Scripts.shipped("calm"), 9, startedMs);
    }

    /** Returns the effects of a model from now on, up to a time. */
    private static List<Effect> until(ServerModel model, double ms) {
        var effects = new ArrayList<Effect>();
        while (model.nextMs() <= ms) {
            effects.addAll(model.advanceTo(model.nextMs()));
        }
        return effects;
    }

    private static long hits(List<Effect> effects) {
        return effects.stream()
                .filter(effect -> effect instanceof Effect.Reply reply && reply.end().equals("hit"))
                .count();
    }

    @Test
    public void eachPartRunsOnceAndIsAnsweredOnce() {
        var model = model(0);
        var effects = new ArrayList<Effect>();
        for (int i = 0; i < 50; i++) {
            effects.addAll(model.arrive(100, part(i, "a-0", "offers")));
        }
        effects.addAll(until(model, 1e6));
        assertEquals(hits(effects), 50);
        assertEquals(effects.stream().filter(Effect.Ran.class::isInstance).count(), 50);
        assertEquals(model.pendingParts(), 0);
    }

    @Test
    public void aCancelledPartRunsOnlyIfItHasStartedAndIsNotAnswered() {
        var model = model(0);
        for (int i = 0; i < 3; i++) {
            model.arrive(100, part(i, "a-0", "offers"));
        }
        for (int i = 0; i < 3; i++) {
            model.cancel(LINK, "s" + i + ".1");
        }
        var effects = until(model, 1e6);
        // The server has two cores: two parts run, and no answer is sent.
        assertEquals(effects.stream().filter(Effect.Ran.class::isInstance).count(), 2);
        assertEquals(hits(effects), 0);
    }

    @Test
    public void aColdServerCrashesUnderTheTotalLoadOfAllGatherersAndAWarmOneDoesNot() {
        // With this multiple, the overload limit is reached before the queue is full.
        Script script = Scripts.cold(0.5);
        var cold = new ServerModel("s-a-0-0", script, 9, 10_000);
        var warm = new ServerModel("s-a-0-0", script, 9, 0);
        List<Effect> effects = List.of();
        int sent = 0;
        while (effects.stream().noneMatch(Effect.FellOver.class::isInstance) && sent < 2000) {
            effects = cold.arrive(10_001, part(sent, sent % 2 == 0 ? "a-0" : "b-0", "offers"));
            warm.arrive(10_001, part(sent, "a-0", "offers"));
            sent++;
        }
        var crash = (Effect.FellOver) effects.get(effects.size() - 1);
        // The limit is half of the work that two cores at a fifth of their speed do in a second.
        double sum = crash.workByGatherer().values().stream().mapToDouble(work -> work).sum();
        assertTrue(sum > 200 && sum < 300, "overloaded by " + sum);
        assertEquals(crash.workByGatherer().keySet(), Set.of("a-0", "b-0"));
        assertEquals(cold.pendingParts(), 0);
        assertTrue(warm.pendingParts() > 0);
    }

    private static Plan.TargetedFault fault(
            Fault.Kind kind, double amount, List<String> types, String... to) {
        return new Plan.TargetedFault(
                new Fault(
                        "f",
                        kind,
                        List.of(),
                        List.of(),
                        0,
                        0,
                        null,
                        1,
                        amount,
                        Fault.Mode.SILENT,
                        false,
                        types),
                List.of("s-a-0-0"),
                List.of(to));
    }

    @Test
    public void eachServerFaultHasOnlyItsOwnEffect() {
        var model = model(0);
        var grey = fault(Fault.Kind.GREY, 0, List.of("offers"), "b-1");
        model.change(0, true, grey);
        model.arrive(1, part(1, "a-0", "offers"));
        model.arrive(1, part(2, "b-1", "stamps"));
        model.arrive(1, part(3, "a-0", "stamps"));
        assertEquals(hits(until(model, 1e6)), 1);
        model.change(1000, false, grey);
        var stall = fault(Fault.Kind.STALL, 0, List.of());
        model.arrive(1000, part(4, "a-0", "offers"));
        model.change(1001, true, stall);
        assertEquals(until(model, 1e6), List.of());
        assertEquals(hits(model.change(9000, false, stall)), 0);
        assertEquals(hits(until(model, 1e6)), 1);
        model.change(1e6, true, fault(Fault.Kind.DRAIN, 0, List.of()));
        assertEquals(
                ((Effect.Reply) model.arrive(1e6, part(5, "a-0", "offers")).get(0)).end(),
                "overload");
        var lost = model(0);
        lost.change(0, true, fault(Fault.Kind.LOSE_ANSWERS, 1, List.of()));
        lost.arrive(0, part(6, "a-0", "offers"));
        var effects = until(lost, 1e6);
        assertTrue(
                effects.get(0) instanceof Effect.Ran && effects.get(1) instanceof Effect.Lost,
                effects.toString());
    }

    private static ServerList.Entry entry(String name, ServerList.Status status, int life) {
        return new ServerList.Entry(name, "a", 0, status, 0, life);
    }

    private static Plan.TargetedFault list(Fault.Kind kind, double amount, String... hidden) {
        return new Plan.TargetedFault(
                new Fault(
                        "f",
                        kind,
                        List.of(),
                        List.of(),
                        0,
                        0,
                        null,
                        1,
                        amount,
                        Fault.Mode.SILENT,
                        false,
                        List.of()),
                List.of("g"),
                List.of(hidden));
    }

    @Test
    public void agentsReturnTheListLateIncompleteOutdatedOrNotAtAll() {
        var list =
                new ServerList(
                        List.of(
                                entry("x", ServerList.Status.ACTIVE, 0),
                                entry("y", ServerList.Status.ACTIVE, 0)));
        var agent = new Agent(list);
        assertEquals(agent.answer(1, -1, false).entries().size(), 2);
        assertNull(agent.answer(1, 1, false));
        assertEquals(agent.answer(1, 1, true).entries(), List.of());
        var late = list(Fault.Kind.LIST_LATE, 500);
        agent.change(true, late);
        list.change(100, entry("x", ServerList.Status.LEAVING, 0));
        assertNull(agent.answer(599, 1, false));
        assertEquals(
                agent.answer(600, 1, false),
                new Agent.Answer(2, false, List.of(entry("x", ServerList.Status.LEAVING, 0))));
        agent.change(false, late);
        var back = list(Fault.Kind.LIST_BACK, 0);
        agent.change(true, back);
        assertEquals(
                agent.answer(700, 2, false),
                new Agent.Answer(
                        1,
                        true,
                        List.of(
                                entry("x", ServerList.Status.ACTIVE, 0),
                                entry("y", ServerList.Status.ACTIVE, 0))));
        agent.change(false, back);
        assertEquals(agent.answer(800, 1, false).index(), 2);
        var hides = list(Fault.Kind.LIST_HIDES, 0, "y");
        agent.change(true, hides);
        assertEquals(agent.answer(900, 2, false).entries().size(), 1);
        agent.change(false, hides);
        assertEquals(agent.answer(901, 2, false).entries().size(), 2);
        var silent = list(Fault.Kind.LIST_SILENT, 0);
        agent.change(true, silent);
        assertNull(agent.answer(902, -1, true));
        assertEquals(agent.lastSent().index(), 2);
    }

    @Test
    public void aFrontSendsClientsToAGoneGathererUntilItsDetectionDelayIsOver() {
        var front = new SiteBalancer(Map.of("a-0", "a", "a-1", "a", "b-0", "b"), 1000);
        assertNull(front.next(0, "a"));
        front.ready("a-0");
        front.ready("b-0");
        front.gone(5, "a-0");
        assertEquals(front.next(1000, "a"), "a-0");
        assertEquals(front.next(1005, "a"), "b-0");
        assertTrue(front.isNotAdmitted("a-0"));
        front.ready("a-0");
        assertEquals(front.next(2000, "a"), "a-0");
    }

    @Test
    public void clientsRetryNotBeforeRetryAfterAndNotMoreOftenThanTheScriptAllows() {
        var load = new Script.Load("a", "acme", "offers", 1, 1, 0, List.of(), 3, 100, 1000);
        var random = new Random(3);
        for (int seed = 0; seed < 100; seed++) {
            var persistence = new RetryBehaviour(load, seed);
            for (int retry = 0; retry < 3; retry++) {
                double retryAfterMs = random.nextInt(600);
                double least = Math.max(retryAfterMs, 100 * Math.pow(2, retry));
                double wait = persistence.throttled(retryAfterMs);
                assertTrue(wait >= least && wait <= 1.5 * least, wait + " after " + retryAfterMs);
            }
            assertEquals(persistence.throttled(0), -1.0);
            assertEquals(persistence.id("x"), "x-3");
        }
    }
}
