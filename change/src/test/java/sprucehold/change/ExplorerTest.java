package sprucehold.change;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;
import sprucehold.change.override.EndpointOverrides;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionEvent;
import sprucehold.change.version.VersionHistory;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;

/**
 * Visits every state of a bounded world: three changes, two servers, a drain, a return, crashes
 * between any two steps, a slow query. A state is rebuilt by playing its steps again, as the pure
 * parts are deterministic.
 */
public class ExplorerTest {
    /** What is put wrong on purpose. */
    private enum Mutation {
        NONE,
        CONFIRMED_NOT_WRITTEN,
        APPLIED_BEFORE_WRITTEN,
        DRAIN_FORGOTTEN_ON_ROLLBACK,
        OPERATORS_OVERRIDE_ALONE,
        QUERY_TAKES_NEW_CLASS,
        NUMBERS_FORGOTTEN_ON_RESTART,
        RESTART_TAKES_STAGED,
        RETURNED_AS_WARM
    }

    private static final QueryClass NON_IDEMPOTENT_CLASS =
            Documents.usual().queryClasses().get(1).queryClass();
    private static final ConfigurationDocument FIRST = Documents.usual();
    private static final ConfigurationDocument SERVER_OUT = Documents.number(1, "s1");
    private static final ConfigurationDocument FREED =
            Documents.with(
                    List.of(
                            FIRST.queryClasses().get(0),
                            Documents.type("stamps", QueryClass.Idempotence.IDEMPOTENT, 800, 2000)),
                    FIRST.tenants(),
                    200);
    private static final ConfigurationDocument SMALLER = Documents.number(-1);
    private static final List<ConfigurationDocument> CHANGES = List.of(SERVER_OUT, FREED, SMALLER);

    /** One state, built by steps from the beginning. */
    private static final class World {
        final Mutation mutation;
        VersionHistory history = new VersionHistory(FIRST);
        EndpointOverrides overrides = new EndpointOverrides();
        final List<JournalEntry> journal = new ArrayList<>();
        int writtenBefore;
        ConfigurationDocument inForce = FIRST;
        final TreeMap<String, Endpoint.State> discovered = new TreeMap<>();
        final TreeMap<String, Endpoint> seen = new TreeMap<>();
        final TreeSet<String> drained = new TreeSet<>();
        final TreeMap<String, Double> returnedAt = new TreeMap<>();
        QueryClass slow;
        int proposed;
        int updates;
        int crashes;
        int rollbacks;
        int slowQueries;
        long greatest = 1;
        long confirmedSeen = 1;
        double now = 1;
        String broken;

        World(Mutation mutation) {
            this.mutation = mutation;
            list();
        }

        private void list() {
            var servers = new ArrayList<Endpoint>();
            for (String server : List.of("s1", "s2")) {
                Endpoint.State mode = discovered.getOrDefault(server, Endpoint.State.RUNNING);
                if (mode != Endpoint.State.GONE) {
                    servers.add(new Endpoint(server, 0, "z", 0, mode));
                }
            }
            seen.clear();
            overrides
                    .applyTo(new Event.EndpointsUpdated(true, servers))
                    .endpoints()
                    .forEach(of -> seen.put(of.server(), of));
        }

        List<String> enabled() {
            var steps = new ArrayList<String>();
            if (proposed < CHANGES.size()) {
                steps.add("propose");
            }
            if (history.staged() != null) {
                steps.add("moment");
            }
            if (history.watched()) {
                steps.add("fell");
                steps.add("held");
            }
            if (rollbacks < 1 && (history.watched() || history.staged() != null)) {
                steps.add("undo");
            }
            if (updates < 3) {
                for (String server : List.of("s1", "s2")) {
                    Endpoint.State mode = discovered.getOrDefault(server, Endpoint.State.RUNNING);
                    if (mode == Endpoint.State.RUNNING) {
                        steps.add("drain " + server);
                    } else {
                        steps.add("return " + server);
                    }
                }
            }
            if (slowQueries < 1) {
                steps.add("slow");
            }
            if (crashes < 2) {
                // Killed after any part of what the last step wrote; less was not on the disk.
                for (int kept = writtenBefore; kept <= journal.size(); kept++) {
                    steps.add("crash " + kept);
                }
            }
            return steps;
        }

        void step(String step) {
            now++;
            if (step.startsWith("crash")) {
                crash(Integer.parseInt(step.substring(6)));
                check(step);
                return;
            }
            writtenBefore = journal.size();
            switch (step) {
                case "propose" -> {
                    on(
                            new VersionEvent.Proposed(
                                    "p" + proposed,
                                    "o",
                                    history.staged() != null
                                            ? history.staged().number()
                                            : history.live().number(),
                                    CHANGES.get(proposed),
                                    RunningState.IDLE));
                    proposed++;
                }
                case "moment" -> on(new VersionEvent.BetweenDecisions());
                case "fell" ->
                        on(new VersionEvent.WatchDecided(history.live().number(), true, "fell"));
                case "held" ->
                        on(new VersionEvent.WatchDecided(history.live().number(), false, "held"));
                case "undo" -> {
                    rollbacks++;
                    on(
                            new VersionEvent.RollbackRequested(
                                    history.staged() != null
                                            ? history.staged().number()
                                            : history.live().number(),
                                    "o"));
                }
                case "slow" -> {
                    slowQueries++;
                    slow = inForce.queryClass("stamps").orElseThrow().queryClass();
                }
                default -> {
                    String server = step.substring(step.length() - 2);
                    Endpoint.State mode =
                            step.startsWith("drain")
                                    ? Endpoint.State.DRAINING
                                    : Endpoint.State.RUNNING;
                    updates++;
                    discovered.put(server, mode);
                    see(
                            overrides
                                    .applyTo(
                                            new Event.EndpointsUpdated(
                                                    false,
                                                    List.of(new Endpoint(server, 0, "z", 0, mode))))
                                    .endpoints());
                }
            }
            check(step);
        }

        private void see(List<Endpoint> update) {
            for (Endpoint of : update) {
                Endpoint.State mode =
                        mutation == Mutation.OPERATORS_OVERRIDE_ALONE
                                        && !drained.contains(of.server())
                                ? Endpoint.State.RUNNING
                                : of.state();
                double started = mutation == Mutation.RETURNED_AS_WARM ? 0 : of.startedAtMs();
                seen.put(of.server(), new Endpoint(of.server(), 0, "z", started, mode));
            }
        }

        private void on(VersionEvent event) {
            List<VersionCommand> commands = new ArrayList<>(history.handle(event));
            for (VersionCommand command : commands) {
                if (command instanceof VersionCommand.WriteJournal write) {
                    if (mutation != Mutation.CONFIRMED_NOT_WRITTEN
                            || !(write.entry() instanceof JournalEntry.Confirmed)) {
                        journal.add(write.entry());
                    }
                } else if (command instanceof VersionCommand.Apply apply) {
                    boolean back = apply.version().rollsBack() > 0;
                    inForce = apply.version().document();
                    if (slow != null) {
                        slow =
                                mutation == Mutation.QUERY_TAKES_NEW_CLASS
                                        ? inForce.queryClass("stamps").orElseThrow().queryClass()
                                        : slow.restrictedBy(
                                                inForce.queryClasses().stream()
                                                        .map(
                                                                ConfigurationDocument
                                                                                .QueryClassSettings
                                                                        ::queryClass)
                                                        .toList());
                    }
                    for (String server : drained) {
                        if (!inForce.drainedServers().contains(server)) {
                            returnedAt.put(server, now);
                        }
                    }
                    drained.clear();
                    drained.addAll(inForce.drainedServers());
                    if (mutation == Mutation.DRAIN_FORGOTTEN_ON_ROLLBACK && back) {
                        overrides.applyTo(
                                new Event.EndpointsUpdated(
                                        false,
                                        List.of(
                                                new Endpoint(
                                                        "s1", 0, "z", 0, Endpoint.State.RUNNING))));
                    }
                    see(overrides.setDrained(inForce.drainedServers(), now));
                    if (apply.version().number() < greatest) {
                        broken = "version " + apply.version().number() + " after " + greatest;
                    }
                    greatest = Math.max(greatest, apply.version().number());
                    // A crash right after it must find it on the disk.
                    if (mutation == Mutation.APPLIED_BEFORE_WRITTEN && !journal.isEmpty()) {
                        journal.remove(journal.size() - 1);
                    }
                }
            }
            if (!history.watched()) {
                confirmedSeen = Math.max(confirmedSeen, history.confirmed().number());
            }
        }

        private void crash(int kept) {
            crashes++;
            boolean lastStepLost = kept < journal.size();
            journal.subList(kept, journal.size()).clear();
            if (lastStepLost) {
                // Nobody was discovered of what the last step had not finished.
                confirmedSeen =
                        Math.min(
                                confirmedSeen,
                                journal.stream()
                                        .filter(JournalEntry.Confirmed.class::isInstance)
                                        .mapToLong(of -> ((JournalEntry.Confirmed) of).number())
                                        .max()
                                        .orElse(1));
                // Written before it is applied: what isn't written never was in force.
                greatest =
                        Math.min(
                                greatest,
                                journal.stream()
                                        .mapToLong(
                                                of ->
                                                        of instanceof JournalEntry.Live live
                                                                ? live.number()
                                                                : of
                                                                                instanceof
                                                                                JournalEntry
                                                                                                .Confirmed
                                                                                        sure
                                                                        ? sure.number()
                                                                        : 1)
                                        .max()
                                        .orElse(1));
            }
            slow = null;
            drained.clear();
            returnedAt.clear();
            history = new VersionHistory(FIRST);
            overrides = new EndpointOverrides();
            list();
            writtenBefore = journal.size();
            List<JournalEntry> read =
                    mutation == Mutation.NUMBERS_FORGOTTEN_ON_RESTART
                            ? journal.stream()
                                    .filter(
                                            of ->
                                                    !(of instanceof JournalEntry.Accepted a)
                                                            || a.version().rollsBack() == 0)
                                    .toList()
                            : List.copyOf(journal);
            long before = greatest;
            greatest = 1;
            on(new VersionEvent.Started(read));
            greatest = Math.max(before, greatest);
            if (mutation == Mutation.RESTART_TAKES_STAGED
                    && journal.stream().anyMatch(JournalEntry.Accepted.class::isInstance)) {
                var last =
                        (JournalEntry.Accepted)
                                journal.stream()
                                        .filter(JournalEntry.Accepted.class::isInstance)
                                        .reduce((a, b) -> b)
                                        .orElseThrow();
                inForce = last.version().document();
            }
            if (history.confirmed().number() < confirmedSeen) {
                broken =
                        "version "
                                + confirmedSeen
                                + " was confirmed and is "
                                + history.confirmed().number()
                                + " after the crash";
            }
        }

        private void check(String step) {
            if (!inForce.equals(history.live().document())) {
                broken = "in force isn't what is live";
            }
            if (!inForce.equals(FIRST) && !CHANGES.contains(inForce)) {
                broken = "a mixture is in force";
            }
            for (String server : List.of("s1", "s2")) {
                Endpoint of = seen.get(server);
                Endpoint.State mode = discovered.getOrDefault(server, Endpoint.State.RUNNING);
                if (of != null
                        && of.state() == Endpoint.State.RUNNING
                        && (mode != Endpoint.State.RUNNING
                                || inForce.drainedServers().contains(server))) {
                    broken = server + " may be sent to against a drain";
                }
                if (of != null
                        && of.state() == Endpoint.State.DRAINING
                        && mode == Endpoint.State.RUNNING
                        && !inForce.drainedServers().contains(server)) {
                    broken = server + " is held out though nobody wants it";
                }
                if (of != null
                        && of.state() == Endpoint.State.RUNNING
                        && returnedAt.containsKey(server)
                        && of.startedAtMs() < returnedAt.get(server)) {
                    broken = server + " was given back as if warm";
                }
            }
            if (slow != null
                    && slow.idempotence() != QueryClass.Idempotence.NON_IDEMPOTENT
                    && slowReceivedAsNonIdempotent) {
                broken = "a part in flight was freed";
            }
            if (history.staged() != null && history.watched()) {
                broken = "two changes at a time";
            }
            if (history.live().number() < greatest && !step.startsWith("crash")) {
                broken = "number " + history.live().number() + " after " + greatest;
            }
        }

        /** Whether the slow query was taken while its type was non-replayable. */
        boolean slowReceivedAsNonIdempotent;

        /** Every change can still come to its end from here. */
        void checkEnds() {
            if (history.staged() != null) {
                on(new VersionEvent.BetweenDecisions());
            }
            if (history.watched()) {
                on(new VersionEvent.WatchDecided(history.live().number(), true, "end"));
            }
            if (history.staged() != null || history.watched()) {
                broken = "a change without an end";
            }
        }

        String key() {
            return inForce.limits().maxOpen()
                    + "|"
                    + inForce.drainedServers()
                    + "|"
                    + inForce.queryClasses().get(1).queryClass().idempotence()
                    + "|"
                    + history.watched()
                    + "|"
                    + (history.staged() == null ? "" : history.staged().number())
                    + "|"
                    + history.live().number()
                    + "|"
                    + history.confirmed().number()
                    + "|"
                    + journal.size()
                    + journal.hashCode()
                    + "|"
                    + writtenBefore
                    + "|"
                    + discovered
                    + "|"
                    + seen.values().stream()
                            .map(of -> of.state() + "" + (of.startedAtMs() > 0))
                            .toList()
                    + "|"
                    + (slow == null ? "" : slow.idempotence())
                    + proposed
                    + updates
                    + crashes
                    + rollbacks
                    + slowQueries
                    + slowReceivedAsNonIdempotent
                    + greatest
                    + confirmedSeen;
        }
    }

    private record Explored(int states, String broken, List<String> steps) {}

    private static World play(Mutation mutation, List<String> steps) {
        var world = new World(mutation);
        for (String step : steps) {
            if (step.equals("slow")) {
                world.slowReceivedAsNonIdempotent =
                        world.inForce
                                .queryClass("stamps")
                                .orElseThrow()
                                .queryClass()
                                .equals(NON_IDEMPOTENT_CLASS);
            }
            world.step(step);
        }
        return world;
    }

    /** Breadth first, so that the first trouble found has the fewest steps. */
    private static Explored explore(Mutation mutation, int depth) {
        Set<String> seen = new HashSet<>();
        var queue = new ArrayDeque<List<String>>();
        queue.add(List.of());
        seen.add(play(mutation, List.of()).key());
        while (!queue.isEmpty()) {
            List<String> steps = queue.poll();
            World at = play(mutation, steps);
            for (String step : at.enabled()) {
                var next = new ArrayList<>(steps);
                next.add(step);
                World world = play(mutation, next);
                if (world.broken == null && seen.add(world.key())) {
                    if (next.size() < depth) {
                        queue.add(next);
                    }
                    World end = play(mutation, next);
                    end.checkEnds();
                    world.broken = end.broken;
                }
                if (world.broken != null) {
                    return new Explored(seen.size(), world.broken, next);
                }
            }
        }
        return new Explored(seen.size(), null, List.of());
    }

    @Test
    public void noInterleavingBreaksAnInvariant() {
        long begun = System.nanoTime();
        Explored explored = explore(Mutation.NONE, 9);
        assertTrue(explored.broken == null, explored.broken + " by " + explored.steps);
        assertTrue(explored.states > 10_000, explored.states + " states");
        System.out.println(
                "explored "
                        + explored.states
                        + " states in "
                        + (System.nanoTime() - begun) / 1_000_000
                        + " ms");
    }

    @DataProvider
    Object[][] mutations() {
        var mutations = new ArrayList<Object[]>();
        for (Mutation mutation : Mutation.values()) {
            if (mutation != Mutation.NONE) {
                mutations.add(new Object[] {mutation});
            }
        }
        return mutations.toArray(new Object[0][]);
    }

    @Test(dataProvider = "mutations")
    public void everyMutationIsCaught(Mutation mutation) {
        Explored explored = explore(mutation, 7);
        assertTrue(
                explored.broken != null,
                mutation + " was not caught in " + explored.states + " states");
    }
}
