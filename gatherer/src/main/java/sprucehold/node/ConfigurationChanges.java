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
 * Connects one gatherer to its version history: passes events to the history and executes the
 * commands that the history returns. Times are Unix time in milliseconds. Used on the event loop
 * only.
 */
final class ConfigurationChanges {
    private static final Logger LOG = Logger.getLogger(ConfigurationChanges.class.getName());

    /**
     * Length of a time window of the health watch, in milliseconds. The harm of a change is visible
     * within a few windows.
     */
    static final long WINDOW_MS = 250;

    private final Deployment initial;
    private final VersionHistory history;
    private final Journal journal;
    private final double watchDurationMs;
    private final long minimumQueries;
    private final DeploymentApplier apply;
    private final EndpointOverrideFilter overrides = new EndpointOverrideFilter();
    private final QueryHealthRecorder queries = new QueryHealthRecorder();
    private final Baseline baseline = new Baseline();

    /** The health watch of the live version; null if no version is watched. */
    private HealthWatch watch;

    private long watchedVersion;

    /** Puts a deployment into effect between two decisions. */
    interface DeploymentApplier {
        void apply(Deployment deployment);
    }

    /** Stores an entry before its transition takes effect. */
    interface Journal {
        /** Stores nothing, for a gatherer whose versions need not survive a restart. */
        Journal NONE = entry -> {};

        void write(JournalEntry entry);
    }

    /**
     * @param start the document of the settings that the process was started with
     * @param initial the deployment that the process was started with
     * @param journal stores the entries of the version history
     * @param watchDurationMs how long the service must stay healthy before a version is confirmed
     * @param minimumQueries the number of queries that must be observed before a version is
     *     confirmed
     * @param apply puts a version into effect
     */
    ConfigurationChanges(
            ConfigurationDocument start,
            Deployment initial,
            Journal journal,
            double watchDurationMs,
            long minimumQueries,
            DeploymentApplier apply) {
        this.initial = initial;
        this.history = new VersionHistory(start);
        this.journal = journal;
        this.watchDurationMs = watchDurationMs;
        this.minimumQueries = minimumQueries;
        this.apply = apply;
    }

    /** Returns a factory of policies whose endpoint updates include the operators' overrides. */
    DecisionPolicy.Factory withOverrides(DecisionPolicy.Factory factory) {
        return overrides.wrap(factory);
    }

    /** Restores the version history from the journal, if the journal has entries. */
    void started(double nowMs, List<JournalEntry> entries) {
        if (!entries.isEmpty()) {
            handle(nowMs, new VersionEvent.Started(entries));
        }
    }

    /**
     * Handles a proposal.
     *
     * @param openItems the number of queries and parts that are open
     * @return the resulting commands, including the answer to the proposal
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

    /**
     * Puts the staged version, if there is one, into effect. To be called between two decisions.
     */
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

    /**
     * Ends a time window and adds it to the health watch or, if no version is watched, to the
     * baseline.
     */
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
            execute(nowMs, command);
        }
        return commands;
    }

    /** Executes a command. Answers to proposals are sent by the caller. */
    private void execute(double nowMs, VersionCommand command) {
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

    /** Returns the versions and their states. */
    VersionHistory history() {
        return history;
    }

    /** Whether queries of this class are served by the live version. */
    boolean isQueryClass(String name) {
        return history.live().document().queryClass(name).isPresent();
    }
}
