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
 * Explores every state that a model reaches within a bounded number of steps. The model has three
 * changes, two servers that are drained and returned, crashes between any two steps, and a slow
 * query. A state is rebuilt by replaying its steps, as the tested classes are deterministic.
 */
public class ExplorerTest {
    /** Fault that is injected to check that the invariants detect it. */
    private enum Mutation {
        NONE,
        CONFIRMED_NOT_WRITTEN,
        APPLIED_BEFORE_WRITTEN,
        DRAIN_FORGOTTEN_ON_ROLLBACK,
        DISCOVERY_DRAIN_IGNORED,
        QUERY_TAKES_NEW_CLASS,
        NUMBERS_FORGOTTEN_ON_RESTART,
        RESTART_APPLIES_STAGED,
        RETURNED_AS_WARM
    }

    private static final QueryClass NON_IDEMPOTENT_CLASS =
            Documents.basic().queryClasses().get(1).queryClass();
    private static final ConfigurationDocument FIRST = Documents.basic();
    private static final ConfigurationDocument DRAINED = Documents.variant(1, "s1");
    private static final ConfigurationDocument LOOSENED =
            Documents.with(
                    List.of(
                            FIRST.queryClasses().get(0),
                            Documents.type("stamps", QueryClass.Idempotence.IDEMPOTENT, 800, 2000)),
                    FIRST.tenants(),
                    200);
    private static final ConfigurationDocument SMALLER = Documents.variant(-1);
    private static final List<ConfigurationDocument> CHANGES = List.of(DRAINED, LOOSENED, SMALLER);

    /** State of the model, reached by steps from the initial state. */
    private static final class Model {
        final Mutation mutation;
        VersionHistory history = new VersionHistory(FIRST);
        EndpointOverrides overrides = new EndpointOverrides();
        final List<JournalEntry> journal = new ArrayList<>();
        int writtenBefore;
        ConfigurationDocument applied = FIRST;
        final TreeMap<String, Endpoint.State> discovered = new TreeMap<>();
        final TreeMap<String, Endpoint> policyView = new TreeMap<>();
        final TreeSet<String> drained = new TreeSet<>();
        final TreeMap<String, Double> returnedAt = new TreeMap<>();
        QueryClass slowQueryClass;
        int proposed;
        int updates;
        int crashes;
        int rollbacks;
        int slowQueries;
        long highestLive = 1;
        long highestConfirmed = 1;
        double now = 1;
        String violation;

        Model(Mutation mutation) {
            this.mutation = mutation;
            sendFullList();
        }

        private void sendFullList() {
            var servers = new ArrayList<Endpoint>();
            for (String server : List.of("s1", "s2")) {
                Endpoint.State state = discovered.getOrDefault(server, Endpoint.State.RUNNING);
                if (state != Endpoint.State.GONE) {
                    servers.add(new Endpoint(server, 0, "z", 0, state));
                }
            }
            policyView.clear();
            overrides
                    .applyTo(new Event.EndpointsUpdated(true, servers))
                    .endpoints()
                    .forEach(endpoint -> policyView.put(endpoint.server(), endpoint));
        }

        List<String> enabledSteps() {
            var steps = new ArrayList<String>();
            if (proposed < CHANGES.size()) {
                steps.add("propose");
            }
            if (history.staged() != null) {
                steps.add("apply");
            }
            if (history.watched()) {
                steps.add("degraded");
                steps.add("healthy");
            }
            if (rollbacks < 1 && (history.watched() || history.staged() != null)) {
                steps.add("rollback");
            }
            if (updates < 3) {
                for (String server : List.of("s1", "s2")) {
                    Endpoint.State state = discovered.getOrDefault(server, Endpoint.State.RUNNING);
                    if (state == Endpoint.State.RUNNING) {
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
                // The process may be killed after any of the entries that the last step wrote.
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
                checkInvariants(step);
                return;
            }
            writtenBefore = journal.size();
            switch (step) {
                case "propose" -> {
                    handle(
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
                case "apply" -> handle(new VersionEvent.BetweenDecisions());
                case "degraded" ->
                        handle(
                                new VersionEvent.WatchDecided(
                                        history.live().number(), true, "fell"));
                case "healthy" ->
                        handle(
                                new VersionEvent.WatchDecided(
                                        history.live().number(), false, "held"));
                case "rollback" -> {
                    rollbacks++;
                    handle(
                            new VersionEvent.RollbackRequested(
                                    history.staged() != null
                                            ? history.staged().number()
                                            : history.live().number(),
                                    "o"));
                }
                case "slow" -> {
                    slowQueries++;
                    slowQueryClass = applied.queryClass("stamps").orElseThrow().queryClass();
                }
                default -> {
                    String server = step.substring(step.length() - 2);
                    Endpoint.State state =
                            step.startsWith("drain")
                                    ? Endpoint.State.DRAINING
                                    : Endpoint.State.RUNNING;
                    updates++;
                    discovered.put(server, state);
                    updatePolicy(
                            overrides
                                    .applyTo(
                                            new Event.EndpointsUpdated(
                                                    false,
                                                    List.of(
                                                            new Endpoint(
                                                                    server, 0, "z", 0, state))))
                                    .endpoints());
                }
            }
            checkInvariants(step);
        }

        private void updatePolicy(List<Endpoint> update) {
            for (Endpoint endpoint : update) {
                Endpoint.State state =
                        mutation == Mutation.DISCOVERY_DRAIN_IGNORED
                                        && !drained.contains(endpoint.server())
                                ? Endpoint.State.RUNNING
                                : endpoint.state();
                double started = mutation == Mutation.RETURNED_AS_WARM ? 0 : endpoint.startedAtMs();
                policyView.put(
                        endpoint.server(), new Endpoint(endpoint.server(), 0, "z", started, state));
            }
        }

        private void handle(VersionEvent event) {
            List<VersionCommand> commands = new ArrayList<>(history.handle(event));
            for (VersionCommand command : commands) {
                if (command instanceof VersionCommand.WriteJournal write) {
                    if (mutation != Mutation.CONFIRMED_NOT_WRITTEN
                            || !(write.entry() instanceof JournalEntry.Confirmed)) {
                        journal.add(write.entry());
                    }
                } else if (command instanceof VersionCommand.Apply apply) {
                    boolean rollback = apply.version().rollsBack() > 0;
                    applied = apply.version().document();
                    if (slowQueryClass != null) {
                        slowQueryClass =
                                mutation == Mutation.QUERY_TAKES_NEW_CLASS
                                        ? applied.queryClass("stamps").orElseThrow().queryClass()
                                        : slowQueryClass.restrictedBy(
                                                applied.queryClasses().stream()
                                                        .map(
                                                                ConfigurationDocument
                                                                                .QueryClassSettings
                                                                        ::queryClass)
                                                        .toList());
                    }
                    for (String server : drained) {
                        if (!applied.drainedServers().contains(server)) {
                            returnedAt.put(server, now);
                        }
                    }
                    drained.clear();
                    drained.addAll(applied.drainedServers());
                    if (mutation == Mutation.DRAIN_FORGOTTEN_ON_ROLLBACK && rollback) {
                        overrides.applyTo(
                                new Event.EndpointsUpdated(
                                        false,
                                        List.of(
                                                new Endpoint(
                                                        "s1", 0, "z", 0, Endpoint.State.RUNNING))));
                    }
                    updatePolicy(overrides.setDrained(applied.drainedServers(), now));
                    if (apply.version().number() < highestLive) {
                        violation = "version " + apply.version().number() + " after " + highestLive;
                    }
                    highestLive = Math.max(highestLive, apply.version().number());
                    // The entry must be on the disk if a crash follows; the mutation loses it.
                    if (mutation == Mutation.APPLIED_BEFORE_WRITTEN && !journal.isEmpty()) {
                        journal.remove(journal.size() - 1);
                    }
                }
            }
            if (!history.watched()) {
                highestConfirmed = Math.max(highestConfirmed, history.confirmed().number());
            }
        }

        private void crash(int kept) {
            crashes++;
            boolean lastStepLost = kept < journal.size();
            journal.subList(kept, journal.size()).clear();
            if (lastStepLost) {
                // The result of the unfinished last step was not reported to anybody.
                highestConfirmed =
                        Math.min(
                                highestConfirmed,
                                journal.stream()
                                        .filter(JournalEntry.Confirmed.class::isInstance)
                                        .mapToLong(
                                                entry -> ((JournalEntry.Confirmed) entry).number())
                                        .max()
                                        .orElse(1));
                // Entries are written before a version is applied, so a version without an entry
                // was never live.
                highestLive =
                        Math.min(
                                highestLive,
                                journal.stream()
                                        .mapToLong(
                                                entry ->
                                                        entry instanceof JournalEntry.Live live
                                                                ? live.number()
                                                                : entry
                                                                                instanceof
                                                                                JournalEntry
                                                                                                .Confirmed
                                                                                        confirmed
                                                                        ? confirmed.number()
                                                                        : 1)
                                        .max()
                                        .orElse(1));
            }
            slowQueryClass = null;
            drained.clear();
            returnedAt.clear();
            history = new VersionHistory(FIRST);
            overrides = new EndpointOverrides();
            sendFullList();
            writtenBefore = journal.size();
            List<JournalEntry> read =
                    mutation == Mutation.NUMBERS_FORGOTTEN_ON_RESTART
                            ? journal.stream()
                                    .filter(
                                            entry ->
                                                    !(entry instanceof JournalEntry.Accepted a)
                                                            || a.version().rollsBack() == 0)
                                    .toList()
                            : List.copyOf(journal);
            long before = highestLive;
            highestLive = 1;
            handle(new VersionEvent.Started(read));
            highestLive = Math.max(before, highestLive);
            if (mutation == Mutation.RESTART_APPLIES_STAGED
                    && journal.stream().anyMatch(JournalEntry.Accepted.class::isInstance)) {
                var last =
                        (JournalEntry.Accepted)
                                journal.stream()
                                        .filter(JournalEntry.Accepted.class::isInstance)
                                        .reduce((a, b) -> b)
                                        .orElseThrow();
                applied = last.version().document();
            }
            if (history.confirmed().number() < highestConfirmed) {
                violation =
                        "version "
                                + highestConfirmed
                                + " was confirmed and is "
                                + history.confirmed().number()
                                + " after the crash";
            }
        }

        private void checkInvariants(String step) {
            if (!applied.equals(history.live().document())) {
                violation = "the applied document isn't the live one";
            }
            if (!applied.equals(FIRST) && !CHANGES.contains(applied)) {
                violation = "the applied document is no complete version";
            }
            for (String server : List.of("s1", "s2")) {
                Endpoint endpoint = policyView.get(server);
                Endpoint.State state = discovered.getOrDefault(server, Endpoint.State.RUNNING);
                if (endpoint != null
                        && endpoint.state() == Endpoint.State.RUNNING
                        && (state != Endpoint.State.RUNNING
                                || applied.drainedServers().contains(server))) {
                    violation = server + " is routable despite a drain";
                }
                if (endpoint != null
                        && endpoint.state() == Endpoint.State.DRAINING
                        && state == Endpoint.State.RUNNING
                        && !applied.drainedServers().contains(server)) {
                    violation = server + " is drained without a request";
                }
                if (endpoint != null
                        && endpoint.state() == Endpoint.State.RUNNING
                        && returnedAt.containsKey(server)
                        && endpoint.startedAtMs() < returnedAt.get(server)) {
                    violation = server + " was returned without slow start";
                }
            }
            if (slowQueryClass != null
                    && slowQueryClass.idempotence() != QueryClass.Idempotence.NON_IDEMPOTENT
                    && slowReceivedAsNonIdempotent) {
                violation = "the query class of an open query was loosened";
            }
            if (history.staged() != null && history.watched()) {
                violation = "two changes are pending";
            }
            if (history.live().number() < highestLive && !step.startsWith("crash")) {
                violation = "number " + history.live().number() + " after " + highestLive;
            }
        }

        /** Whether the slow query was received while its query class was non-idempotent. */
        boolean slowReceivedAsNonIdempotent;

        /** Checks that every pending change can still be completed from this state. */
        void checkChangesCanEnd() {
            if (history.staged() != null) {
                handle(new VersionEvent.BetweenDecisions());
            }
            if (history.watched()) {
                handle(new VersionEvent.WatchDecided(history.live().number(), true, "end"));
            }
            if (history.staged() != null || history.watched()) {
                violation = "a pending change can't be completed";
            }
        }

        String key() {
            return applied.limits().maxOpen()
                    + "|"
                    + applied.drainedServers()
                    + "|"
                    + applied.queryClasses().get(1).queryClass().idempotence()
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
                    + policyView.values().stream()
                            .map(endpoint -> endpoint.state() + "" + (endpoint.startedAtMs() > 0))
                            .toList()
                    + "|"
                    + (slowQueryClass == null ? "" : slowQueryClass.idempotence())
                    + proposed
                    + updates
                    + crashes
                    + rollbacks
                    + slowQueries
                    + slowReceivedAsNonIdempotent
                    + highestLive
                    + highestConfirmed;
        }
    }

    private record Explored(int states, String violation, List<String> steps) {}

    private static Model replay(Mutation mutation, List<String> steps) {
        var model = new Model(mutation);
        for (String step : steps) {
            if (step.equals("slow")) {
                model.slowReceivedAsNonIdempotent =
                        model.applied
                                .queryClass("stamps")
                                .orElseThrow()
                                .queryClass()
                                .equals(NON_IDEMPOTENT_CLASS);
            }
            model.step(step);
        }
        return model;
    }

    /**
     * Explores the states breadth first, so that the first violation found has the fewest steps.
     */
    private static Explored explore(Mutation mutation, int depth) {
        Set<String> visited = new HashSet<>();
        var queue = new ArrayDeque<List<String>>();
        queue.add(List.of());
        visited.add(replay(mutation, List.of()).key());
        while (!queue.isEmpty()) {
            List<String> steps = queue.poll();
            Model current = replay(mutation, steps);
            for (String step : current.enabledSteps()) {
                var next = new ArrayList<>(steps);
                next.add(step);
                Model successor = replay(mutation, next);
                if (successor.violation == null && visited.add(successor.key())) {
                    if (next.size() < depth) {
                        queue.add(next);
                    }
                    Model completed = replay(mutation, next);
                    completed.checkChangesCanEnd();
                    successor.violation = completed.violation;
                }
                if (successor.violation != null) {
                    return new Explored(visited.size(), successor.violation, next);
                }
            }
        }
        return new Explored(visited.size(), null, List.of());
    }

    @Test
    public void noInterleavingViolatesAnInvariant() {
        long startNs = System.nanoTime();
        Explored explored = explore(Mutation.NONE, 9);
        assertTrue(explored.violation == null, explored.violation + " by " + explored.steps);
        assertTrue(explored.states > 10_000, explored.states + " states");
        System.out.println(
                "explored "
                        + explored.states
                        + " states in "
                        + (System.nanoTime() - startNs) / 1_000_000
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
    public void everyMutationIsDetected(Mutation mutation) {
        Explored explored = explore(mutation, 7);
        assertTrue(
                explored.violation != null,
                mutation + " was not detected in " + explored.states + " states");
    }
}
