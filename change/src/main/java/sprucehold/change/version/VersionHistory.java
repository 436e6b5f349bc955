package sprucehold.change.version;

import java.util.ArrayList;
import java.util.List;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.ValidationError;

/**
 * State machine of one gatherer's versions: it takes events and returns commands. Every transition
 * is written to the journal before it takes effect (write-ahead logging), so a process that was
 * killed between any two commands restarts with one complete version. A rollback creates a new
 * version with the document last confirmed, so that version numbers never decrease.
 *
 * <table>
 * <caption>Transitions; an event without a row for the current state has no effect</caption>
 * <tr><th>state</th><th>event</th><th>next state</th><th>commands</th></tr>
 * <tr><td>Confirmed</td><td>Proposed, valid</td><td>Staged</td><td>WriteJournal(Accepted),
 *     Accepted</td></tr>
 * <tr><td>any</td><td>Proposed, known</td><td>the same</td><td>AlreadyKnown</td></tr>
 * <tr><td>Confirmed</td><td>Proposed, equal to the live version</td><td>the same</td><td>
 *     AlreadyKnown</td></tr>
 * <tr><td>any</td><td>Proposed, outdated, invalid or while another is pending</td><td>the same</td>
 *     <td>Rejected</td></tr>
 * <tr><td>Staged</td><td>BetweenDecisions</td><td>Watched</td><td>WriteJournal(Live), Apply,
 *     StartWatch, Log</td></tr>
 * <tr><td>Staged</td><td>RollbackRequested</td><td>Confirmed</td><td>WriteJournal(Dropped)</td></tr>
 * <tr><td>Watched</td><td>WatchDecided healthy, ConfirmRequested</td><td>Confirmed</td><td>
 *     WriteJournal(Confirmed), StopWatch, Log</td></tr>
 * <tr><td>Watched</td><td>WatchDecided degraded, RollbackRequested</td><td>Confirmed, under a new
 *     number</td><td>StopWatch, WriteJournal(Dropped), WriteJournal(Accepted),
 *     WriteJournal(Confirmed), Apply, Log</td></tr>
 * <tr><td>any</td><td>ShuttingDown</td><td>the same</td><td>WriteJournal(ShutDown)</td></tr>
 * <tr><td>Confirmed</td><td>Started: nothing unresolved</td><td>Confirmed</td><td>Apply</td></tr>
 * <tr><td>Confirmed</td><td>Started: killed during a rollback</td><td>Confirmed, under a new number
 *     </td><td>WriteJournal(Accepted), WriteJournal(Confirmed), Apply</td></tr>
 * <tr><td>Confirmed</td><td>Started: a version was watched</td><td>Watched</td><td>
 *     WriteJournal(Retried) after a crash, Apply, StartWatch, Log</td></tr>
 * <tr><td>Confirmed</td><td>Started: the process crashed repeatedly under the watched version</td>
 *     <td>Confirmed, under a new number; the watched version is quarantined</td><td>
 *     WriteJournal(Dropped), WriteJournal(Accepted), WriteJournal(Confirmed), Apply, Log</td></tr>
 * <tr><td>Confirmed</td><td>Started: a version was staged</td><td>the same as without the staged
 *     version</td><td>the same as without the staged version, then WriteJournal(Dropped)</td></tr>
 * </table>
 */
public final class VersionHistory {
    /** Number of consecutive crashes of the process after which the live version is quarantined. */
    private static final int MAX_CRASHES = 2;

    private final VersionRegistry registry = new VersionRegistry();
    private VersionState state;
    private List<VersionCommand> commands = new ArrayList<>();

    /**
     * @param first the document that the process was started with; it becomes version 1 and is
     *     confirmed
     */
    public VersionHistory(ConfigurationDocument first) {
        var version = new Version(registry.nextNumber(), 0, first, "start", 0);
        state = new VersionState.Confirmed(version);
        registry.setState(version, VersionStatus.State.CONFIRMED, "");
    }

    /** Processes an event and returns the commands to carry out, in order. */
    public List<VersionCommand> handle(VersionEvent event) {
        commands = new ArrayList<>();
        if (event instanceof VersionEvent.Proposed proposed) {
            propose(proposed);
        } else if (event instanceof VersionEvent.BetweenDecisions) {
            goLive();
        } else if (event instanceof VersionEvent.WatchDecided decided) {
            endWatch(decided);
        } else if (event instanceof VersionEvent.ConfirmRequested request) {
            if (state instanceof VersionState.Watched watched
                    && watched.live().number() == request.version()) {
                confirm(watched, "confirmed by " + request.author());
            }
        } else if (event instanceof VersionEvent.RollbackRequested request) {
            rollBackOnRequest(request);
        } else if (event instanceof VersionEvent.ShuttingDown) {
            write(new JournalEntry.ShutDown());
        } else if (event instanceof VersionEvent.Started started) {
            recover(started.journal());
        }
        return commands;
    }

    private void write(JournalEntry entry) {
        commands.add(new VersionCommand.WriteJournal(entry));
    }

    private void log(String message) {
        commands.add(new VersionCommand.Log(message));
    }

    private void propose(VersionEvent.Proposed proposed) {
        Long knownNumber = registry.versionOfProposal(proposed.proposalId());
        Version newest = staged() != null ? staged() : live();
        if (knownNumber != null) {
            commands.add(new VersionCommand.AlreadyKnown(proposed.proposalId(), knownNumber));
        } else if (proposed.basedOn() != newest.number()) {
            VersionStatus basis = registry.status(proposed.basedOn());
            commands.add(
                    ProposalReview.outdated(
                            proposed, newest, basis == null ? null : basis.version()));
        } else if (!(state instanceof VersionState.Confirmed)) {
            commands.add(ProposalReview.busy(proposed, newest, watched()));
        } else if (proposed.document().equals(live().document())) {
            registry.putProposal(proposed.proposalId(), live().number());
            commands.add(new VersionCommand.AlreadyKnown(proposed.proposalId(), live().number()));
        } else {
            List<ValidationError> errors =
                    ProposalReview.validate(proposed, live(), registry.statuses());
            if (errors.isEmpty()) {
                stage(proposed);
            } else {
                commands.add(new VersionCommand.Rejected(proposed.proposalId(), errors, null));
            }
        }
    }

    private void stage(VersionEvent.Proposed proposed) {
        Version live = live();
        var staged =
                new Version(
                        registry.nextNumber(),
                        live.number(),
                        proposed.document(),
                        proposed.author(),
                        0);
        state = new VersionState.Staged(live, staged);
        registry.putProposal(proposed.proposalId(), staged.number());
        registry.setState(staged, VersionStatus.State.STAGED, "");
        write(new JournalEntry.Accepted(staged, proposed.proposalId()));
        commands.add(
                new VersionCommand.Accepted(
                        proposed.proposalId(),
                        staged,
                        DocumentDifference.between(live.document(), staged.document())));
    }

    private void goLive() {
        if (state instanceof VersionState.Staged staged) {
            Version version = staged.staged();
            write(new JournalEntry.Live(version.number()));
            watch(version);
            log("version " + version.number() + " by " + version.author() + " is live and watched");
        }
    }

    private void watch(Version version) {
        state = new VersionState.Watched(confirmed(), version);
        registry.setState(version, VersionStatus.State.WATCHED, "");
        commands.add(new VersionCommand.Apply(version));
        commands.add(new VersionCommand.StartWatch(version.number()));
    }

    private void endWatch(VersionEvent.WatchDecided decided) {
        // The version may have been confirmed or rolled back by an operator in the meantime.
        if (state instanceof VersionState.Watched watched
                && watched.live().number() == decided.version()) {
            if (decided.degraded()) {
                rollBack(watched, "service fell: " + decided.evidence(), "watch");
            } else {
                confirm(watched, "service held: " + decided.evidence());
            }
        }
    }

    private void confirm(VersionState.Watched watched, String reason) {
        Version version = watched.live();
        registry.supersede(watched.confirmed(), version.number());
        registry.setState(version, VersionStatus.State.CONFIRMED, reason);
        state = new VersionState.Confirmed(version);
        write(new JournalEntry.Confirmed(version.number()));
        commands.add(new VersionCommand.StopWatch(version.number()));
        log("version " + version.number() + " is confirmed: " + reason);
    }

    private void rollBackOnRequest(VersionEvent.RollbackRequested request) {
        if (state instanceof VersionState.Watched watched
                && watched.live().number() == request.version()) {
            rollBack(watched, "undone by " + request.author(), request.author());
        } else if (state instanceof VersionState.Staged staged
                && staged.staged().number() == request.version()) {
            drop(staged.staged(), "withdrawn by " + request.author());
            state = new VersionState.Confirmed(staged.confirmed());
        }
    }

    private void rollBack(VersionState.Watched watched, String reason, String author) {
        Version version = watched.live();
        commands.add(new VersionCommand.StopWatch(version.number()));
        drop(version, reason);
        restoreConfirmed(version.number(), author);
        log(
                "version "
                        + version.number()
                        + " is rolled back, version "
                        + live().number()
                        + " is live: "
                        + reason);
    }

    /**
     * Makes the document last confirmed live again, under a new version number and without a health
     * watch.
     */
    private void restoreConfirmed(long rolledBack, String author) {
        Version former = confirmed();
        var restored =
                new Version(
                        registry.nextNumber(), rolledBack, former.document(), author, rolledBack);
        // The prefix is part of the journal's stored form.
        write(new JournalEntry.Accepted(restored, "undo-" + rolledBack));
        write(new JournalEntry.Confirmed(restored.number()));
        registry.supersede(former, restored.number());
        registry.setState(
                restored, VersionStatus.State.CONFIRMED, "it undoes version " + rolledBack);
        state = new VersionState.Confirmed(restored);
        commands.add(new VersionCommand.Apply(restored));
    }

    private void drop(Version version, String reason) {
        registry.setState(version, VersionStatus.State.ROLLED_BACK, reason);
        write(new JournalEntry.Dropped(version.number(), reason));
    }

    /**
     * Resumes from the journal. A version that was accepted and not yet live is dropped, as the
     * answer to its proposal does not promise that it goes live.
     */
    private void recover(List<JournalEntry> journal) {
        var replay = new JournalReplay(registry, confirmed(), journal);
        state = new VersionState.Confirmed(replay.confirmed());
        Version unresolved = replay.unresolved();
        if (unresolved != null && replay.crashes(unresolved) >= MAX_CRASHES) {
            quarantine(unresolved, replay.crashes(unresolved));
        } else if (unresolved != null) {
            watchAgain(unresolved, replay.endedCleanly());
        } else if (replay.highestLive() > live().number()) {
            // The process was killed during a rollback, which is completed now.
            restoreConfirmed(replay.highestLive(), "restart");
        } else {
            commands.add(new VersionCommand.Apply(live()));
        }
        for (VersionStatus status : registry.statuses()) {
            if (status.state() == VersionStatus.State.STAGED) {
                drop(status.version(), "the process ended before it went live");
            }
        }
    }

    private void quarantine(Version version, int crashes) {
        String cause = "the process died under it " + crashes + " times";
        String reason = JournalReplay.QUARANTINE_REASON + ": " + cause;
        registry.setState(version, VersionStatus.State.QUARANTINED, reason);
        write(new JournalEntry.Dropped(version.number(), reason));
        restoreConfirmed(version.number(), "restart");
        log(
                "version "
                        + version.number()
                        + " is quarantined: "
                        + cause
                        + "; version "
                        + live().number()
                        + " is live");
    }

    private void watchAgain(Version version, boolean endedCleanly) {
        if (!endedCleanly) {
            write(new JournalEntry.Retried(version.number()));
        }
        watch(version);
        log("version " + version.number() + " is live and watched again after a restart");
    }

    /** Returns the version whose document is applied. */
    public Version live() {
        return state.live();
    }

    /** Returns the version that a rollback restores. */
    public Version confirmed() {
        return state.confirmed();
    }

    /** Returns the version that goes live next, or null if there is none. */
    public Version staged() {
        return state instanceof VersionState.Staged staged ? staged.staged() : null;
    }

    /** Returns the number of the version that a proposal became, or null if it was not accepted. */
    public Long versionOfProposal(String proposalId) {
        return registry.versionOfProposal(proposalId);
    }

    /** Returns whether the live version is watched and not yet confirmed. */
    public boolean watched() {
        return state instanceof VersionState.Watched;
    }

    /** Returns the status of each version, the oldest first. */
    public List<VersionStatus> statuses() {
        return registry.statuses();
    }
}
