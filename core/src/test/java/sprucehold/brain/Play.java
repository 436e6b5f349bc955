package sprucehold.brain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.port.Action;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.Listing;
import sprucehold.port.TableType;

/** Plays a gatherer by hand: facts to vary, events to bring, and the actions that came of them. */
final class Play {
    static final TableType ALL = type("all", TableType.Repeat.REPLAYABLE, 1, 1, 0);
    static final TableType ANY = type("any", TableType.Repeat.REPLAYABLE, 0.75, 0.75, 0);
    static final TableType PARTIAL = type("partial", TableType.Repeat.REPLAYABLE, 1, 0.5, 0);
    static final TableType ONCE = type("once", TableType.Repeat.NON_REPLAYABLE, 1, 1, 0);
    static final TableType KEYED = type("keyed", TableType.Repeat.KEYED, 1, 1, 0);
    static final TableType STEPS = type("steps", TableType.Repeat.REPLAYABLE, 1, 1, 2);

    Deployment.Layout layout = new Deployment.Layout(4, 2, 1);
    Deployment.Limits limits = new Deployment.Limits(3, 1000, true, true, 500);
    Deployment.ColdRule coldRule = new Deployment.ColdRule(0.2, 10_000, 2, 1000);
    Deployment.DispatchBudget budget = Deployment.DispatchBudget.NONE;
    int gatherers = 1;
    long seed = 7;
    Deployment.ListAccess listAccess = new Deployment.ListAccess(false, 10_000);
    List<Customer> customers = List.of();
    double now = 1000;
    final List<Action> done = new ArrayList<>();
    private Brain brain;
    private long scans;
    private double wakeAt = Double.POSITIVE_INFINITY;

    private static TableType type(
            String name, TableType.Repeat repeat, double whole, double least, int second) {
        return new TableType(name, repeat, 1000, 1, 0.1, 1500, whole, least, second);
    }

    static Listing listing(String server, int cell, double startedAt, Listing.Mode mode) {
        return new Listing(server, cell, "z", startedAt, mode);
    }

    /**
     * Four cells of one server each, a to d; segment s is held by the servers of cells s and s + 1.
     */
    Play start() {
        brain =
                new Brain(
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
        var entries = new ArrayList<Listing>();
        for (int cell = 0; cell < 4; cell++) {
            entries.add(listing("abcd".substring(cell, cell + 1), cell, 0, Listing.Mode.RUNNING));
        }
        tell(new Event.ListReceived(true, entries));
        return this;
    }

    List<Action> tell(Event... events) {
        List<Action> actions = brain.decide(now, List.of(events));
        for (Action action : actions) {
            if (action instanceof Action.Wake wake) {
                wakeAt = Math.min(wakeAt, now + wake.delayMs());
            }
        }
        done.addAll(actions);
        return actions;
    }

    /** Takes a scan with parts "ID/0", "ID/1", ... of equal weight at segments 0, 1, ... */
    List<Action> scan(String id, TableType type, int parts, double timeLeft) {
        var events = new ArrayList<Event>();
        events.add(
                new Event.ScanTaken(
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
            events.add(new Event.PartTaken(id + "/" + i, scans, i, 1.0 / parts));
        }
        return events;
    }

    List<Action> end(String part, int number, Ending ending) {
        return tell(new Event.DispatchEnded(part, number, ending, 50, null));
    }

    /** Lets time go by, waking the gatherer as it asked. */
    void waitFor(double ms) {
        double until = now + ms;
        while (wakeAt <= until) {
            now = Math.max(now, wakeAt);
            wakeAt = Double.POSITIVE_INFINITY;
            tell(new Event.Woken());
        }
        now = until;
    }

    /** Dispatches so far by part, as "server" in order. */
    Map<String, List<String>> dispatches() {
        var byPart = new LinkedHashMap<String, List<String>>();
        for (Action.Dispatch dispatch : all(Action.Dispatch.class)) {
            byPart.computeIfAbsent(dispatch.partId(), id -> new ArrayList<>())
                    .add(dispatch.server());
        }
        return byPart;
    }

    <A extends Action> List<A> all(Class<A> kind) {
        return done.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** The final answers so far, as "answer whole", "answer part", "throttle" or "abandon". */
    List<String> endings() {
        var endings = new ArrayList<String>();
        for (Action action : done) {
            if (action instanceof Action.Answer answer) {
                endings.add(answer.whole() ? "answer whole" : "answer part");
            } else if (action instanceof Action.Throttle) {
                endings.add("throttle");
            } else if (action instanceof Action.Abandon) {
                endings.add("abandon");
            }
        }
        return endings;
    }
}
