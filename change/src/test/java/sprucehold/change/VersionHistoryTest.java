package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.RunningState;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionEvent;
import sprucehold.change.version.VersionHistory;
import sprucehold.change.version.VersionStatus;

public class VersionHistoryTest {
    private VersionHistory history = new VersionHistory(Documents.basic());
    private List<JournalEntry> journal = new ArrayList<>();
    private ConfigurationDocument applied = Documents.basic();

    private List<VersionCommand> handle(VersionEvent event) {
        List<VersionCommand> commands = history.handle(event);
        for (VersionCommand command : commands) {
            if (command instanceof VersionCommand.WriteJournal write) {
                journal.add(write.entry());
            } else if (command instanceof VersionCommand.Apply apply) {
                applied = apply.version().document();
            }
        }
        return commands;
    }

    private List<VersionCommand> propose(String id, long base, ConfigurationDocument document) {
        return handle(new VersionEvent.Proposed(id, "operator", base, document, RunningState.IDLE));
    }

    private void reset() {
        history = new VersionHistory(Documents.basic());
        journal = new ArrayList<>();
        applied = Documents.basic();
    }

    private static <C extends VersionCommand> List<C> ofType(
            List<VersionCommand> commands, Class<C> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Test
    public void changeIsStagedAppliedWatchedAndConfirmed() {
        reset();
        assertEquals(
                ofType(propose("a", 1, Documents.variant(1)), VersionCommand.Accepted.class)
                        .get(0)
                        .version()
                        .number(),
                2);
        assertEquals(applied, Documents.basic(), "not applied before the decision ends");
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(applied, Documents.variant(1));
        assertTrue(history.watched());
        handle(new VersionEvent.WatchDecided(2, false, "held"));
        assertFalse(history.watched());
        assertEquals(history.confirmed().number(), 2);
    }

    @Test
    public void harmfulChangeIsRolledBackUnderANewNumber() {
        reset();
        propose("a", 1, Documents.variant(1));
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.WatchDecided(2, true, "fell"));
        assertEquals(applied, Documents.basic());
        assertEquals(history.live().number(), 3);
        assertEquals(history.live().rollsBack(), 2);
        // A late verdict on a version that was already rolled back has no effect.
        assertTrue(handle(new VersionEvent.WatchDecided(2, true, "fell")).isEmpty());
        assertTrue(handle(new VersionEvent.ConfirmRequested(2, "late operator")).isEmpty());
        assertEquals(applied, Documents.basic());
    }

    @Test
    public void outdatedProposalIsRejectedWithTheChangesSinceItsBase() {
        reset();
        propose("a", 1, Documents.variant(1));
        List<VersionCommand> second = propose("b", 1, Documents.variant(2));
        VersionCommand.Rejected rejected = ofType(second, VersionCommand.Rejected.class).get(0);
        assertTrue(
                rejected.changesSince().changes().get(0).description().contains("from 200 to 201"),
                rejected.toString());
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(applied, Documents.variant(1));
    }

    @Test
    public void proposalDuringTheWatchIsRejected() {
        reset();
        propose("a", 1, Documents.variant(1));
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(
                ofType(propose("b", 2, Documents.variant(2)), VersionCommand.Rejected.class).size(),
                1);
        handle(new VersionEvent.WatchDecided(2, false, "held"));
        assertEquals(
                ofType(propose("c", 2, Documents.variant(2)), VersionCommand.Accepted.class).size(),
                1);
    }

    @Test
    public void repeatedProposalIsAcceptedOnceEvenAfterARestart() {
        reset();
        propose("a", 1, Documents.variant(1));
        assertEquals(
                ofType(propose("a", 1, Documents.variant(1)), VersionCommand.AlreadyKnown.class)
                        .get(0)
                        .number(),
                2);
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.ConfirmRequested(2, "operator"));
        restart();
        assertEquals(
                ofType(propose("a", 1, Documents.variant(1)), VersionCommand.AlreadyKnown.class)
                        .get(0)
                        .number(),
                2);
        assertEquals(applied, Documents.variant(1));
    }

    private void restart() {
        history = new VersionHistory(Documents.basic());
        applied = null;
        handle(new VersionEvent.Started(List.copyOf(journal)));
    }

    @Test
    public void processKilledBetweenAnyTwoStepsRestartsWithOneCompleteVersion() {
        reset();
        propose("a", 1, Documents.variant(1));
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.WatchDecided(2, false, "held"));
        propose("b", 2, Documents.variant(2));
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.WatchDecided(3, true, "fell"));
        propose("c", 4, Documents.variant(3));
        handle(new VersionEvent.BetweenDecisions());
        List<JournalEntry> entries = List.copyOf(journal);
        List<ConfigurationDocument> documents =
                List.of(
                        Documents.basic(),
                        Documents.variant(1),
                        Documents.variant(2),
                        Documents.variant(3));
        for (int cut = 0; cut <= entries.size(); cut++) {
            journal = new ArrayList<>(entries.subList(0, cut));
            restart();
            assertTrue(documents.contains(applied), "after " + cut + " steps");
            assertEquals(applied, history.live().document());
            // A version that was confirmed before the kill is never lost.
            for (JournalEntry entry : entries.subList(0, cut)) {
                if (entry instanceof JournalEntry.Confirmed confirmed) {
                    assertTrue(history.confirmed().number() >= confirmed.number());
                }
            }
            long last = history.live().number();
            propose("after-" + cut, history.live().number(), Documents.variant(50 + cut));
            if (history.staged() != null) {
                assertTrue(history.staged().number() > last, "version numbers must not decrease");
            }
        }
    }

    @Test
    public void versionUnderWhichTheProcessCrashedTwiceIsQuarantined() {
        reset();
        propose("a", 1, Documents.variant(1));
        handle(new VersionEvent.BetweenDecisions());
        restart();
        assertEquals(applied, Documents.variant(1), "one crash may not be caused by the version");
        assertTrue(history.watched());
        restart();
        assertEquals(applied, Documents.basic());
        assertTrue(
                history.statuses().stream()
                        .anyMatch(status -> status.state() == VersionStatus.State.QUARANTINED));
        restart();
        assertEquals(applied, Documents.basic(), "must stay quarantined after another restart");
        VersionCommand.Rejected rejected =
                ofType(
                                propose("again", history.live().number(), Documents.variant(1)),
                                VersionCommand.Rejected.class)
                        .get(0);
        assertTrue(rejected.errors().get(0).problem().contains("set aside"), rejected.toString());
    }

    @Test
    public void cleanShutdownIsNotCountedAsACrash() {
        reset();
        propose("a", 1, Documents.variant(1));
        handle(new VersionEvent.BetweenDecisions());
        for (int i = 0; i < 5; i++) {
            handle(new VersionEvent.ShuttingDown());
            restart();
            assertEquals(applied, Documents.variant(1));
            assertTrue(history.watched());
        }
    }

    @Test
    public void versionWithdrawnWhileStagedNeverGoesLive() {
        reset();
        propose("a", 1, Documents.variant(1));
        handle(new VersionEvent.RollbackRequested(2, "operator"));
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(applied, Documents.basic());
        assertEquals(history.statuses().get(1).state(), VersionStatus.State.ROLLED_BACK);
    }
}
