package sprucehold.node;

import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.Version;
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

/**
 * Connects one gatherer to its version history: passes on what happens as events, and carries out
 * the commands. Times are Unix time in milliseconds. Belongs to the event loop.
 */
final class ConfigurationChanges {
    private static final Logger LOG = Logger.getLogger(ConfigurationChanges.class.getName());

    /** Length of a time window; a harmful change shows within a few of them. */
    static final long WINDOW_MS = 250;

    private final Deployment initial;
    private final VersionHistory history;
    private final Journal journal;
    private final double watchDurationMs;
    private final long minimumQueries;
    private final Apply apply;
    private final EndpointOverrideFilter overrides = new EndpointOverrideFilter();
    private final QueryHealthRecorder queries = new QueryHealthRecorder();
    private final Baseline baseline = new Baseline();

    /** The watch of the live version, or null if none is watched. */
    private HealthWatch watch;

    private long watchedVersion;

    /** Puts a deployment in force between two decisions. */
    interface Apply {
        void apply(Deployment deployment);
    }

    /** Writes an entry before its transition takes effect. */
    interface Journal {
        /** Keeps nothing, for a gatherer whose versions are not to outlive the process. */
        Journal NONE = entry -> {};

        void write(JournalEntry entry);
    }

    /**
     * @param start the document of the settings that the process was started with
     * @param initial the deployment that the process was started with
     * @param journal where versions are written
     * @param watchDurationMs how long service has to hold before a version is confirmed
     * @param minimumQueries the number of queries that have to be seen before that
     * @param apply puts a version in force
     */
    ConfigurationChanges(
            ConfigurationDocument start,
            Deployment initial,
            Journal journal,
            double watchDurationMs,
            long minimumQueries,
            Apply apply) {
        this.initial = initial;
        this.history = new VersionHistory(start);
        this.journal = journal;
        this.watchDurationMs = watchDurationMs;
        this.minimumQueries = minimumQueries;
        this.apply = apply;
    }

    /** A factory of policies that see operators' overrides of endpoints. */
    DecisionPolicy.Factory withOverrides(DecisionPolicy.Factory factory) {
        return overrides.wrap(factory);
    }

    /** Resumes from the journal, if it has entries. */
    void started(double nowMs, List<JournalEntry> entries) {
        if (!entries.isEmpty()) {
            handle(nowMs, new VersionEvent.Started(entries));
        }
    }

    /**
     * Takes a proposal.
     *
     * @param openItems the number of queries and parts that are open
     * @return the commands that it led to, the answer to the proposal among them
     */
    List<VersionCommand> propose(
            double nowMs,
            String id,
            String author,
            long basedOn,
            ConfigurationDocument document,
            int openItems) {
        var running =
                new RunningState(
                        queries.openQueriesByClass(),
                        queries.openQueriesByTenant(),
                        openItems,
                        overrides.replicasByShard(initial));
        return handle(nowMs, new VersionEvent.Proposed(id, author, basedOn, document, running));
    }

    void confirm(double nowMs, long version, String author) {
        handle(nowMs, new VersionEvent.ConfirmRequested(version, author));
    }

    void rollBack(double nowMs, long version, String author) {
        handle(nowMs, new VersionEvent.RollbackRequested(version, author));
    }

    /** The policy is between two decisions: a staged version goes live. */
    void betweenDecisions(double nowMs) {
        if (history.staged() != null) {
            handle(nowMs, new VersionEvent.BetweenDecisions());
        }
    }

    void shuttingDown(double nowMs) {
        handle(nowMs, new VersionEvent.ShuttingDown());
    }

    void queryReceived(double nowMs, Query query) {
        queries.received(nowMs, query, history.live().document());
    }

    void queryAnswered(double nowMs, Query query, Answer answer) {
        queries.answered(nowMs, query, answer);
    }

    void clientDisconnected(double nowMs, Query query) {
        queries.disconnected(nowMs, query);
    }

    /** Ends a time window: it extends the baseline, or the watch while there is one. */
    void windowEnded(double nowMs) {
        TimeWindow window = queries.endWindow(nowMs);
        if (watch == null) {
            baseline.add(window);
            return;
        }
        HealthWatch.Verdict verdict = watch.add(window);
        if (verdict instanceof HealthWatch.Verdict.Degraded degraded) {
            handle(nowMs, new VersionEvent.WatchDecided(watchedVersion, true, degraded.evidence()));
        } else if (verdict instanceof HealthWatch.Verdict.Healthy healthy) {
            handle(nowMs, new VersionEvent.WatchDecided(watchedVersion, false, healthy.evidence()));
        }
    }

    private List<VersionCommand> handle(double nowMs, VersionEvent event) {
        List<VersionCommand> commands = history.handle(event);
        for (VersionCommand command : commands) {
            carryOut(nowMs, command);
        }
        return commands;
    }

    /** Answers to proposals are left to the caller. */
    private void carryOut(double nowMs, VersionCommand command) {
        if (command instanceof VersionCommand.WriteJournal write) {
            journal.write(write.entry());
        } else if (command instanceof VersionCommand.Apply applied) {
            apply(nowMs, applied.version());
        } else if (command instanceof VersionCommand.StartWatch start) {
            watchedVersion = start.number();
            watch = new HealthWatch(baseline, nowMs, watchDurationMs, minimumQueries);
        } else if (command instanceof VersionCommand.StopWatch) {
            watch = null;
        } else if (command instanceof VersionCommand.Log line) {
            log(line.message());
        }
    }

    private void apply(double nowMs, Version version) {
        ConfigurationDocument document = version.document();
        overrides.setDrained(document.drainedServers(), nowMs);
        apply.apply(document.applyTo(initial));
    }

    private void log(String message) {
        Map<String, Object> fields =
                Map.of(
                        "version", history.live().number(),
                        "watched", history.watched(),
                        "confirmed", history.confirmed().number(),
                        "by", history.live().author());
        LOG.log(Level.INFO, message, new Object[] {fields});
    }

    /** The versions and their states. */
    VersionHistory history() {
        return history;
    }

    /** Whether queries of this class are served now. */
    boolean isQueryClass(String name) {
        return history.live().document().queryClass(name).isPresent();
    }
}
