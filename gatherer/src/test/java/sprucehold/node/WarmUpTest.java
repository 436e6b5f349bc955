package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;

/** Tests of both kinds of warm-up. */
public class WarmUpTest extends GathererTestBed {
    @Test
    public void warmUpRunsQueriesThroughPolicyAndLeavesNoFiles() throws Exception {
        var answered = new AtomicInteger();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    commands.add(new Command.SendAttempt(part.id(), "a0", 5000));
                                } else if (event instanceof Event.AttemptEnded ended
                                        && ended.outcome() == AttemptOutcome.COMPLETED) {
                                    answered.incrementAndGet();
                                    commands.add(
                                            new Command.AnswerQuery(
                                                    ended.partId().replaceAll("[.].*", ""), true));
                                }
                            }
                            return commands;
                        };
        Set<String> before = files();
        WarmUp.run(config(NODE_FIELDS, SETTINGS), factory);
        assertTrue(answered.get() > 100, String.valueOf(answered));
        Set<String> left = files();
        left.removeAll(before);
        assertEquals(left, Set.of());
    }

    @Test
    public void stubWarmUpRunsQueriesThroughPolicyAndCodecs() throws Exception {
        var parts = new AtomicInteger();
        DecisionPolicy.Factory factory =
                (seed, deployment) ->
                        (now, events) -> {
                            var commands = new ArrayList<Command>();
                            for (Event event : events) {
                                if (event instanceof Event.PartReceived part) {
                                    parts.incrementAndGet();
                                    commands.add(new Command.SendAttempt(part.id(), "a0", 5000));
                                } else if (event instanceof Event.AttemptEnded ended
                                        && ended.outcome() == AttemptOutcome.COMPLETED) {
                                    commands.add(
                                            new Command.AnswerQuery(
                                                    ended.partId().replaceAll("[.].*", ""), true));
                                }
                            }
                            return commands;
                        };
        int answered = StubWarmUp.run(config(NODE_FIELDS, SETTINGS), factory);
        assertEquals(answered, 3);
        assertTrue(parts.get() >= 3 * 4, String.valueOf(parts));
    }

    private static Set<String> files() {
        return new HashSet<>(
                List.of(
                        new File(System.getProperty("java.io.tmpdir"))
                                .list((directory, name) -> name.startsWith("warm-up"))));
    }
}
