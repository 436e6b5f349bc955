package sprucehold.change.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;

/**
 * The line of versions of one gatherer. A proposal is checked whole and staged; it goes live
 * between two moments of the module, is watched, and ends confirmed or undone. An undoing is a
 * version of its own, with the document last confirmed, so that numbers never go back. Every step
 * is written down before it is taken; a process that was killed between any two starts with one
 * whole version.
 */
public final class VersionHistory {
    /**
     * A version under which the process died so often without an end in good order is set aside.
     */
    private static final int MOST_DEATHS = 2;

    /** Outcomes remembered, for operators who ask; the journal holds all. */
    private static final int MOST_HISTORY = 1000;

    private static final String ASIDE = "set aside";

    private final Map<Long, VersionStatus> history = new LinkedHashMap<>();
    private final Map<String, Long> numberOfProposal = new HashMap<>();
    private final Map<Long, Integer> deaths = new HashMap<>();
    private Version confirmed;
    private Version live;
    private Version staged;
    private boolean watched;
    private long last;
    private List<VersionCommand> todo = new ArrayList<>();

    /**
     * @param first the document that the process was started with; it is version 1 and confirmed
     */
    public VersionHistory(ConfigurationDocument first) {
        confirmed = new Version(1, 0, first, "start", 0);
        live = confirmed;
        last = 1;
        remember(confirmed, VersionStatus.State.CONFIRMED, "");
    }

    /** Takes one event and returns what is to be done, in order. */
    public List<VersionCommand> on(VersionEvent event) {
        todo = new ArrayList<>();
        if (event instanceof VersionEvent.Proposed proposed) {
            proposed(proposed);
        } else if (event instanceof VersionEvent.BetweenDecisions) {
            goLive();
        } else if (event instanceof VersionEvent.Judged judged) {
            judged(judged);
        } else if (event instanceof VersionEvent.ConfirmRequested asked) {
            if (watched && live.number() == asked.version()) {
                confirm("confirmed by " + asked.by());
            }
        } else if (event instanceof VersionEvent.RollbackRequested asked) {
            if (watched && live.number() == asked.version()) {
                undo("undone by " + asked.by(), asked.by());
            } else if (staged != null && staged.number() == asked.version()) {
                drop(staged, "withdrawn by " + asked.by());
                staged = null;
            }
        } else if (event instanceof VersionEvent.ShuttingDown) {
            todo.add(new VersionCommand.Write(new JournalEntry.Ended()));
        } else if (event instanceof VersionEvent.Started started) {
            started(started.journal());
        }
        return todo;
    }

    // ---- Proposals ----

    private void proposed(VersionEvent.Proposed proposed) {
        Long known = numberOfProposal.get(proposed.id());
        if (known != null) {
            todo.add(new VersionCommand.AlreadyKnown(proposed.id(), known));
            return;
        }
        Version newest = staged != null ? staged : live;
        if (proposed.madeFrom() != newest.number()) {
            VersionStatus from = history.get(proposed.madeFrom());
            ValidationError fault =
                    new ValidationError(
                            "",
                            "it was made from version "
                                    + proposed.madeFrom()
                                    + ", and the newest is "
                                    + newest.number(),
                            "make it anew from version " + newest.number());
            todo.add(
                    new VersionCommand.Rejected(
                            proposed.id(),
                            List.of(fault),
                            from == null
                                    ? null
                                    : DocumentDifference.between(
                                            from.version().document(), newest.document())));
            return;
        }
        if (watched || staged != null) {
            // Two changes at a time: nobody could tell which of them service fell by.
            ValidationError fault =
                    new ValidationError(
                            "",
                            "version "
                                    + newest.number()
                                    + (watched ? " is still watched" : " isn't live yet"),
                            "wait for its end, confirm it or undo it");
            todo.add(new VersionCommand.Rejected(proposed.id(), List.of(fault), null));
            return;
        }
        if (proposed.document().equals(live.document())) {
            numberOfProposal.put(proposed.id(), live.number());
            todo.add(new VersionCommand.AlreadyKnown(proposed.id(), live.number()));
            return;
        }
        List<ValidationError> faults =
                new ArrayList<>(
                        SemanticValidator.against(
                                proposed.document(), live.document(), proposed.running()));
        for (VersionStatus outcome : history.values()) {
            if (outcome.how() == VersionStatus.State.SET_ASIDE
                    && outcome.version().document().equals(proposed.document())) {
                faults.add(
                        new ValidationError(
                                "",
                                "it is the same as version "
                                        + outcome.version().number()
                                        + ", which was set aside: "
                                        + outcome.why(),
                                "change what killed the process"));
            }
        }
        if (!faults.isEmpty()) {
            todo.add(new VersionCommand.Rejected(proposed.id(), List.copyOf(faults), null));
            return;
        }
        staged = new Version(++last, live.number(), proposed.document(), proposed.by(), 0);
        numberOfProposal.put(proposed.id(), staged.number());
        remember(staged, VersionStatus.State.STAGED, "");
        todo.add(new VersionCommand.Write(new JournalEntry.Accepted(staged, proposed.id())));
        todo.add(
                new VersionCommand.Accepted(
                        proposed.id(),
                        staged,
                        DocumentDifference.between(live.document(), staged.document())));
    }

    // ---- Going live, and the end of it ----

    private void goLive() {
        if (staged == null) {
            return;
        }
        live = staged;
        staged = null;
        watched = true;
        remember(live, VersionStatus.State.WATCHED, "");
        todo.add(new VersionCommand.Write(new JournalEntry.Live(live.number())));
        todo.add(new VersionCommand.Apply(live));
        todo.add(new VersionCommand.Watch(live.number()));
        todo.add(
                new VersionCommand.Log(
                        "version " + live.number() + " by " + live.by() + " is live and watched"));
    }

    private void judged(VersionEvent.Judged judged) {
        // The watch's word may cross an operator's, or come of a version that is gone.
        if (!watched || live.number() != judged.version()) {
            return;
        }
        if (judged.harm()) {
            undo("service fell: " + judged.grounds(), "watch");
        } else {
            confirm("service held: " + judged.grounds());
        }
    }

    private void confirm(String why) {
        watched = false;
        remember(confirmed, VersionStatus.State.REPLACED, "by version " + live.number());
        confirmed = live;
        remember(live, VersionStatus.State.CONFIRMED, why);
        todo.add(new VersionCommand.Write(new JournalEntry.Confirmed(live.number())));
        todo.add(new VersionCommand.StopWatch(live.number()));
        todo.add(new VersionCommand.Log("version " + live.number() + " is confirmed: " + why));
    }

    /**
     * Back to the document last confirmed, under a new number; it was confirmed before and isn't
     * watched.
     */
    private void undo(String why, String by) {
        Version undone = live;
        watched = false;
        todo.add(new VersionCommand.StopWatch(undone.number()));
        drop(undone, why);
        back(undone.number(), by);
        todo.add(
                new VersionCommand.Log(
                        "version "
                                + undone.number()
                                + " is undone, version "
                                + live.number()
                                + " is live: "
                                + why));
    }

    /**
     * Puts the document last confirmed in force under a new number, as one that was live came after
     * it.
     */
    private void back(long undone, String by) {
        var back = new Version(++last, undone, confirmed.document(), by, undone);
        todo.add(new VersionCommand.Write(new JournalEntry.Accepted(back, "undo-" + undone)));
        todo.add(new VersionCommand.Write(new JournalEntry.Confirmed(back.number())));
        remember(confirmed, VersionStatus.State.REPLACED, "by version " + back.number());
        confirmed = back;
        live = back;
        remember(back, VersionStatus.State.CONFIRMED, "it undoes version " + undone);
        todo.add(new VersionCommand.Apply(back));
    }

    private void drop(Version version, String why) {
        remember(version, VersionStatus.State.UNDONE, why);
        todo.add(new VersionCommand.Write(new JournalEntry.Dropped(version.number(), why)));
    }

    // ---- Recovery ----

    /**
     * Folds the journal. A version accepted and not yet live is forgotten: nobody was promised that
     * it would go live.
     */
    private void started(List<JournalEntry> journal) {
        Version unresolved = null;
        long everLive = 0;
        var accepted = new HashMap<Long, Version>();
        for (JournalEntry entry : journal) {
            if (entry instanceof JournalEntry.Accepted of) {
                accepted.put(of.version().number(), of.version());
                numberOfProposal.put(of.id(), of.version().number());
                last = Math.max(last, of.version().number());
                remember(of.version(), VersionStatus.State.STAGED, "");
            } else if (entry instanceof JournalEntry.Live of) {
                unresolved = accepted.get(of.number());
                everLive = Math.max(everLive, of.number());
            } else if (entry instanceof JournalEntry.Retried of) {
                unresolved = accepted.get(of.number());
                deaths.merge(of.number(), 1, Integer::sum);
            } else if (entry instanceof JournalEntry.Confirmed of) {
                remember(confirmed, VersionStatus.State.REPLACED, "by version " + of.number());
                confirmed = accepted.getOrDefault(of.number(), confirmed);
                unresolved = null;
                remember(confirmed, VersionStatus.State.CONFIRMED, "");
            } else if (entry instanceof JournalEntry.Dropped of) {
                unresolved =
                        unresolved != null && unresolved.number() == of.number()
                                ? null
                                : unresolved;
                if (accepted.containsKey(of.number())) {
                    boolean aside = of.why().startsWith(ASIDE);
                    remember(
                            accepted.get(of.number()),
                            aside ? VersionStatus.State.SET_ASIDE : VersionStatus.State.UNDONE,
                            of.why());
                }
            } else if (entry instanceof JournalEntry.Ended) {
                // What was live until an end in good order didn't kill the process; it is watched
                // anew.
                if (unresolved != null) {
                    deaths.remove(unresolved.number());
                }
            }
        }
        live = confirmed;
        staged = null;
        watched = false;
        if (unresolved != null) {
            retry(unresolved, journal);
        } else if (everLive > live.number()) {
            // Killed in the midst of an undoing: it is brought to its end.
            back(everLive, "restart");
        } else {
            todo.add(new VersionCommand.Apply(live));
        }
        for (VersionStatus outcome : List.copyOf(history.values())) {
            if (outcome.how() == VersionStatus.State.STAGED) {
                drop(outcome.version(), "the process ended before it went live");
            }
        }
    }

    private void retry(Version version, List<JournalEntry> journal) {
        boolean inOrder =
                !journal.isEmpty() && journal.get(journal.size() - 1) instanceof JournalEntry.Ended;
        int died = deaths.getOrDefault(version.number(), 0) + (inOrder ? 0 : 1);
        if (died >= MOST_DEATHS) {
            String why = ASIDE + ": the process died under it " + died + " times";
            remember(version, VersionStatus.State.SET_ASIDE, why);
            todo.add(new VersionCommand.Write(new JournalEntry.Dropped(version.number(), why)));
            back(version.number(), "restart");
            todo.add(
                    new VersionCommand.Log(
                            "version "
                                    + version.number()
                                    + " is "
                                    + why
                                    + "; version "
                                    + live.number()
                                    + " is live"));
            return;
        }
        if (!inOrder) {
            todo.add(new VersionCommand.Write(new JournalEntry.Retried(version.number())));
            deaths.put(version.number(), died);
        }
        live = version;
        watched = true;
        remember(live, VersionStatus.State.WATCHED, "");
        todo.add(new VersionCommand.Apply(live));
        todo.add(new VersionCommand.Watch(live.number()));
        todo.add(
                new VersionCommand.Log(
                        "version " + live.number() + " is live and watched again after a restart"));
    }

    private void remember(Version version, VersionStatus.State how, String why) {
        history.put(version.number(), new VersionStatus(version, how, why));
        while (history.size() > MOST_HISTORY) {
            history.remove(history.keySet().iterator().next());
        }
    }

    /** The version in force. */
    public Version live() {
        return live;
    }

    /** The version that an undoing goes back to. */
    public Version confirmed() {
        return confirmed;
    }

    /** The version that goes live next, or null. */
    public Version staged() {
        return staged;
    }

    /** The version that a proposal became, or null where it was never taken. */
    public Long numberOf(String proposalId) {
        return numberOfProposal.get(proposalId);
    }

    /** Whether the live version is watched and not yet confirmed. */
    public boolean watched() {
        return watched;
    }

    /** What became of each version, the oldest first. */
    public List<VersionStatus> history() {
        return List.copyOf(history.values());
    }
}
