package sprucehold.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;
import sprucehold.change.override.EndpointOverrides;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionEvent;
import sprucehold.change.version.VersionHistory;
import sprucehold.change.watch.Baseline;
import sprucehold.change.watch.HealthWatch;
import sprucehold.change.watch.TimeWindow;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Query;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/**
 * Changes of one gatherer's facts: carries what happens to the line of versions, and what that
 * wants to the gatherer. All of it belongs to the event loop.
 */
final class ConfigurationChanges {
    private static final Logger LOG = Logger.getLogger(ConfigurationChanges.class.getName());

    /**
     * Service is counted in stretches of a quarter of a second: a harm shows within a few of them.
     */
    static final long WINDOW_MS = 250;

    private final Deployment first;
    private final VersionHistory history;
    private final EndpointOverrides words = new EndpointOverrides();
    private final Baseline before = new Baseline();
    private final TimeWindow.Builder slot = new TimeWindow.Builder();
    private final Map<Query, Taken> open = new IdentityHashMap<>();
    private final Journal journal;
    private final double watchDurationMs;
    private final long minimumQueries;
    private final Apply apply;
    private HealthWatch watch;
    private long watched;

    /** News for the module that go along with the facts that come next. */
    private List<Endpoint> news = List.of();

    /** Puts facts in force between two moments of the module. */
    interface Apply {
        void apply(Deployment deployment);
    }

    /** Writes an entry down before its step is taken. */
    interface Journal {
        /** Where no folder lasts. */
        Journal NONE = entry -> {};

        void write(JournalEntry entry);
    }

    private record Taken(
            double atMs, ConfigurationDocument.QueryClassSettings type, String customer) {}

    /**
     * @param start the document that the start brought
     * @param watchMs how long service has to hold before a version is confirmed
     * @param leastScans and how many scans have to be seen
     */
    ConfigurationChanges(
            ConfigurationDocument start,
            Deployment first,
            Journal journal,
            double watchMs,
            long leastScans,
            Apply apply) {
        this.first = first;
        this.history = new VersionHistory(start);
        this.journal = journal;
        this.watchDurationMs = watchMs;
        this.minimumQueries = leastScans;
        this.apply = apply;
    }

    /** The module behind the operator's word on shard servers. */
    DecisionPolicy.Factory withOverrides(DecisionPolicy.Factory factory) {
        return (seed, deployment) -> {
            DecisionPolicy module = factory.start(seed, deployment);
            return (nowMs, events) -> module.decide(nowMs, joined(events));
        };
    }

    private List<Event> joined(List<Event> events) {
        if (events.stream()
                .noneMatch(
                        event ->
                                event instanceof Event.EndpointsUpdated
                                        || event instanceof Event.DeploymentChanged)) {
            return events;
        }
        var joined = new ArrayList<Event>(events.size() + 1);
        for (Event event : events) {
            joined.add(event instanceof Event.EndpointsUpdated list ? words.applyTo(list) : event);
            if (event instanceof Event.DeploymentChanged && !news.isEmpty()) {
                joined.add(new Event.EndpointsUpdated(false, news));
                news = List.of();
            }
        }
        return joined;
    }

    // ---- What happens ----

    void started(double nowMs, List<JournalEntry> entries) {
        if (!entries.isEmpty()) {
            carryOut(nowMs, history.handle(new VersionEvent.Started(entries)));
        }
    }

    List<VersionCommand> propose(
            double nowMs,
            String id,
            String by,
            long madeFrom,
            ConfigurationDocument document,
            int held) {
        return carryOut(
                nowMs,
                history.handle(
                        new VersionEvent.Proposed(id, by, madeFrom, document, running(held))));
    }

    void confirm(double nowMs, long version, String by) {
        carryOut(nowMs, history.handle(new VersionEvent.ConfirmRequested(version, by)));
    }

    void rollBack(double nowMs, long version, String by) {
        carryOut(nowMs, history.handle(new VersionEvent.RollbackRequested(version, by)));
    }

    /** Between two moments of the module. */
    void betweenDecisions(double nowMs) {
        if (history.staged() != null) {
            carryOut(nowMs, history.handle(new VersionEvent.BetweenDecisions()));
        }
    }

    void shuttingDown(double nowMs) {
        carryOut(nowMs, history.handle(new VersionEvent.ShuttingDown()));
    }

    void queryReceived(double nowMs, Query query) {
        history.live()
                .document()
                .queryClass(query.queryClass())
                .ifPresent(
                        type ->
                                open.put(
                                        query,
                                        new Taken(
                                                nowMs,
                                                type,
                                                history.live()
                                                        .document()
                                                        .tenant(query.tenant())
                                                        .map(tenant -> tenant.name())
                                                        .orElse(null))));
    }

    void queryAnswered(double nowMs, Query query, Answer answer) {
        Taken taken = open.remove(query);
        if (taken != null) {
            boolean inTime =
                    answer instanceof Answer.Completed
                            && nowMs - taken.atMs <= taken.type.queryClass().latencyObjectiveMs();
            slot.add(
                    taken.type.name(),
                    taken.customer,
                    taken.type.queryClass().priorityWeight(),
                    inTime);
        }
    }

    /** Who left before its target time tells nothing of service; who left after it was failed. */
    void clientDisconnected(double nowMs, Query query) {
        Taken taken = open.remove(query);
        if (taken != null && nowMs - taken.atMs > taken.type.queryClass().latencyObjectiveMs()) {
            slot.add(
                    taken.type.name(),
                    taken.customer,
                    taken.type.queryClass().priorityWeight(),
                    false);
        }
    }

    /** The end of a stretch of time. */
    void windowEnded(double nowMs) {
        TimeWindow ended = slot.take(nowMs);
        if (watch == null) {
            before.add(ended);
            return;
        }
        HealthWatch.Verdict word = watch.add(ended);
        if (word instanceof HealthWatch.Verdict.Degraded fell) {
            carryOut(
                    nowMs,
                    history.handle(new VersionEvent.WatchDecided(watched, true, fell.evidence())));
        } else if (word instanceof HealthWatch.Verdict.Healthy held) {
            carryOut(
                    nowMs,
                    history.handle(new VersionEvent.WatchDecided(watched, false, held.evidence())));
        }
    }

    // ---- What is to be done ----

    private List<VersionCommand> carryOut(double nowMs, List<VersionCommand> actions) {
        for (VersionCommand action : actions) {
            if (action instanceof VersionCommand.WriteJournal write) {
                journal.write(write.entry());
            } else if (action instanceof VersionCommand.Apply version) {
                ConfigurationDocument document = version.version().document();
                news = words.setDrained(document.drainedServers(), nowMs);
                apply.apply(document.applyTo(first));
            } else if (action instanceof VersionCommand.StartWatch of) {
                watched = of.number();
                watch = new HealthWatch(before, nowMs, watchDurationMs, minimumQueries);
            } else if (action instanceof VersionCommand.StopWatch) {
                watch = null;
            } else if (action instanceof VersionCommand.Log tell) {
                LOG.log(
                        Level.INFO,
                        tell.message(),
                        new Object[] {
                            Map.of(
                                    "version",
                                    history.live().number(),
                                    "watched",
                                    history.watched(),
                                    "confirmed",
                                    history.confirmed().number(),
                                    "by",
                                    history.live().author())
                        });
            }
        }
        return actions;
    }

    private RunningState running(int held) {
        Map<String, Integer> byType = new HashMap<>();
        Map<String, Integer> byCustomer = new HashMap<>();
        open.values()
                .forEach(
                        taken -> {
                            byType.merge(taken.type.name(), 1, Integer::sum);
                            if (taken.customer != null) {
                                byCustomer.merge(taken.customer, 1, Integer::sum);
                            }
                        });
        // A segment's holders are those of some cells in a row, so one segment for each cell tells
        // of all.
        Map<Integer, Set<String>> byCell = words.runningByReplicaGroup();
        Map<Integer, Set<String>> holders = new HashMap<>();
        for (int cell = 0; cell < first.layout().replicaGroups(); cell++) {
            Set<String> of = new HashSet<>();
            for (int j = 0; j < first.layout().groupsPerShard(); j++) {
                of.addAll(
                        byCell.getOrDefault((cell + j) % first.layout().replicaGroups(), Set.of()));
            }
            holders.put(cell, of);
        }
        return new RunningState(byType, byCustomer, held, holders);
    }

    VersionHistory history() {
        return history;
    }

    /** Whether a table type is served now. */
    boolean isQueryClass(String name) {
        return history.live().document().queryClass(name).isPresent();
    }
}
