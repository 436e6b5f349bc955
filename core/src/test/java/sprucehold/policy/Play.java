package sprucehold.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/** Plays a gatherer by hand: facts to vary, events to bring, and the actions that came of them. */
final class Play {
    static final QueryClass ALL = type("all", QueryClass.Idempotence.IDEMPOTENT, 1, 1, 0);
    static final QueryClass ANY = type("any", QueryClass.Idempotence.IDEMPOTENT, 0.75, 0.75, 0);
    static final QueryClass PARTIAL = type("partial", QueryClass.Idempotence.IDEMPOTENT, 1, 0.5, 0);
    static final QueryClass ONCE = type("once", QueryClass.Idempotence.NON_IDEMPOTENT, 1, 1, 0);
    static final QueryClass KEYED = type("keyed", QueryClass.Idempotence.DEDUPLICATED, 1, 1, 0);
    static final QueryClass STEPS = type("steps", QueryClass.Idempotence.IDEMPOTENT, 1, 1, 2);

    Deployment.ShardLayout layout = new Deployment.ShardLayout(4, 2, 1);
    Deployment.Limits limits = new Deployment.Limits(3, 1000, true, true, 500);
    Deployment.SlowStartRule coldRule = new Deployment.SlowStartRule(0.2, 10_000, 2, 1000);
    Deployment.RetryBudget budget = Deployment.RetryBudget.NONE;
    int gatherers = 1;
    long seed = 7;
    Deployment.EndpointSubscription listAccess = new Deployment.EndpointSubscription(false, 10_000);
    List<Tenant> customers = List.of();
    double now = 1000;
    final List<Command> done = new ArrayList<>();
    private QueryScheduler brain;
    private long scans;
    private double wakeAt = Double.POSITIVE_INFINITY;

    private static QueryClass type(
            String name, QueryClass.Idempotence repeat, double whole, double least, int second) {
        return new QueryClass(name, repeat, 1000, 1, 0.1, 1500, whole, least, second);
    }

    static Endpoint listing(String server, int cell, double startedAt, Endpoint.State mode) {
        return new Endpoint(server, cell, "z", startedAt, mode);
    }

    /**
     * Four cells of one server each, a to d; segment s is held by the servers of cells s and s + 1.
     */
    Play start() {
        brain =
                new QueryScheduler(
                        seed,
                        new Deployment(
                                gatherers,
                                "z",
                                5,
                                0.2,
                                List.of(ALL, ANY, PARTIAL, ONCE, KEYED, STEPS),
                                customers,
                                layout,
                                limits,
                                coldRule,
                                budget,
                                listAccess));
        var entries = new ArrayList<Endpoint>();
        for (int cell = 0; cell < 4; cell++) {
            entries.add(listing("abcd".substring(cell, cell + 1), cell, 0, Endpoint.State.RUNNING));
        }
        tell(new Event.EndpointsUpdated(true, entries));
        return this;
    }

    List<Command> tell(Event... events) {
        List<Command> actions = brain.decide(now, List.of(events));
        for (Command command : actions) {
            if (command instanceof Command.ScheduleWakeUp wakeUp) {
                wakeAt = Math.min(wakeAt, now + wakeUp.delayMs());
            }
        }
        done.addAll(actions);
        return actions;
    }

    /** Takes a scan with parts "ID/0", "ID/1", ... of equal weight at segments 0, 1, ... */
    List<Command> scan(String id, QueryClass type, int parts, double timeLeft) {
        var events = new ArrayList<Event>();
        events.add(
                new Event.QueryReceived(
                        id,
                        ++scans,
                        type,
                        customers.isEmpty() ? null : customers.get(0),
                        timeLeft));
        events.addAll(parts(id, parts));
        return tell(events.toArray(new Event[0]));
    }

    List<Event> parts(String id, int parts) {
        var events = new ArrayList<Event>();
        for (int i = 0; i < parts; i++) {
            events.add(new Event.PartReceived(id + "/" + i, scans, i, 1.0 / parts));
        }
        return events;
    }

    List<Command> end(String part, int number, AttemptOutcome outcome) {
        return tell(new Event.AttemptEnded(part, number, outcome, 50, null));
    }

    /** Lets time go by, waking the gatherer as it asked. */
    void waitFor(double ms) {
        double until = now + ms;
        while (wakeAt <= until) {
            now = Math.max(now, wakeAt);
            wakeAt = Double.POSITIVE_INFINITY;
            tell(new Event.WakeUp());
        }
        now = until;
    }

    /** Dispatches so far by part, as "server" in order. */
    Map<String, List<String>> dispatches() {
        var byPart = new LinkedHashMap<String, List<String>>();
        for (Command.SendAttempt sendAttempt : all(Command.SendAttempt.class)) {
            byPart.computeIfAbsent(sendAttempt.partId(), id -> new ArrayList<>())
                    .add(sendAttempt.server());
        }
        return byPart;
    }

    <A extends Command> List<A> all(Class<A> kind) {
        return done.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The final answers so far, as "answer whole", "answer part", "throttle" or "abandon". */
    List<String> endings() {
        var endings = new ArrayList<String>();
        for (Command command : done) {
            if (command instanceof Command.AnswerQuery answer) {
                endings.add(answer.complete() ? "answer whole" : "answer part");
            } else if (command instanceof Command.RejectQuery) {
                endings.add("throttle");
            } else if (command instanceof Command.FailQuery) {
                endings.add("abandon");
            }
        }
        return endings;
    }
}
