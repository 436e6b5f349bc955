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
    private VersionHistory history = new VersionHistory(Documents.usual());
    private List<JournalEntry> journal = new ArrayList<>();
    private ConfigurationDocument inForce = Documents.usual();

    private List<VersionCommand> handle(VersionEvent event) {
        List<VersionCommand> commands = history.handle(event);
        for (VersionCommand command : commands) {
            if (command instanceof VersionCommand.WriteJournal write) {
                journal.add(write.entry());
            } else if (command instanceof VersionCommand.Apply apply) {
                inForce = apply.version().document();
            }
        }
        return commands;
    }

    private List<VersionCommand> propose(String id, long from, ConfigurationDocument document) {
        return handle(new VersionEvent.Proposed(id, "operator", from, document, RunningState.IDLE));
    }

    private void fresh() {
        history = new VersionHistory(Documents.usual());
        journal = new ArrayList<>();
        inForce = Documents.usual();
    }

    private static <A extends VersionCommand> List<A> of(
            List<VersionCommand> commands, Class<A> kind) {
        return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    @Test
    public void changeIsStagedAppliedWatchedAndConfirmed() {
        fresh();
        assertEquals(
                of(propose("a", 1, Documents.number(1)), VersionCommand.Accepted.class)
                        .get(0)
                        .version()
                        .number(),
                2);
        assertEquals(inForce, Documents.usual(), "not before the decision is over");
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(inForce, Documents.number(1));
        assertTrue(history.watched());
        handle(new VersionEvent.WatchDecided(2, false, "held"));
        assertFalse(history.watched());
        assertEquals(history.confirmed().number(), 2);
    }

    @Test
    public void harmfulChangeIsRolledBackUnderANewNumber() {
        fresh();
        propose("a", 1, Documents.number(1));
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.WatchDecided(2, true, "fell"));
        assertEquals(inForce, Documents.usual());
        assertEquals(history.live().number(), 3);
        assertEquals(history.live().rollsBack(), 2);
        // The watch's late word handle a version that is gone changes nothing.
        assertTrue(handle(new VersionEvent.WatchDecided(2, true, "fell")).isEmpty());
        assertTrue(handle(new VersionEvent.ConfirmRequested(2, "late operator")).isEmpty());
        assertEquals(inForce, Documents.usual());
    }

    @Test
    public void secondOfTwoOperatorsIsRejectedAndToldWhatChangedSince() {
        fresh();
        propose("a", 1, Documents.number(1));
        List<VersionCommand> second = propose("b", 1, Documents.number(2));
        VersionCommand.Rejected rejected = of(second, VersionCommand.Rejected.class).get(0);
        assertTrue(
                rejected.changesSince().changes().get(0).description().contains("from 200 to 201"),
                rejected.toString());
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(inForce, Documents.number(1));
    }

    @Test
    public void secondChangeDuringTheWatchIsRejected() {
        fresh();
        propose("a", 1, Documents.number(1));
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(
                of(propose("b", 2, Documents.number(2)), VersionCommand.Rejected.class).size(), 1);
        handle(new VersionEvent.WatchDecided(2, false, "held"));
        assertEquals(
                of(propose("c", 2, Documents.number(2)), VersionCommand.Accepted.class).size(), 1);
    }

    @Test
    public void sameProposalTwiceIsOneAlsoAfterARestart() {
        fresh();
        propose("a", 1, Documents.number(1));
        assertEquals(
                of(propose("a", 1, Documents.number(1)), VersionCommand.AlreadyKnown.class)
                        .get(0)
                        .number(),
                2);
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.ConfirmRequested(2, "operator"));
        restart();
        assertEquals(
                of(propose("a", 1, Documents.number(1)), VersionCommand.AlreadyKnown.class)
                        .get(0)
                        .number(),
                2);
        assertEquals(inForce, Documents.number(1));
    }

    private void restart() {
        history = new VersionHistory(Documents.usual());
        inForce = null;
        handle(new VersionEvent.Started(List.copyOf(journal)));
    }

    @Test
    public void killedBetweenAnyTwoStepsItStartsWithOneWholeVersion() {
        fresh();
        propose("a", 1, Documents.number(1));
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.WatchDecided(2, false, "held"));
        propose("b", 2, Documents.number(2));
        handle(new VersionEvent.BetweenDecisions());
        handle(new VersionEvent.WatchDecided(3, true, "fell"));
        propose("c", 4, Documents.number(3));
        handle(new VersionEvent.BetweenDecisions());
        List<JournalEntry> all = List.copyOf(journal);
        List<ConfigurationDocument> whole =
                List.of(
                        Documents.usual(),
                        Documents.number(1),
                        Documents.number(2),
                        Documents.number(3));
        for (int cut = 0; cut <= all.size(); cut++) {
            journal = new ArrayList<>(all.subList(0, cut));
            restart();
            assertTrue(whole.contains(inForce), "after " + cut + " steps");
            assertEquals(inForce, history.live().document());
            // A version that was confirmed before the kill is never lost.
            for (JournalEntry entry : all.subList(0, cut)) {
                if (entry instanceof JournalEntry.Confirmed confirmed) {
                    assertTrue(history.confirmed().number() >= confirmed.number());
                }
            }
            long last = history.live().number();
            propose("after-" + cut, history.live().number(), Documents.number(50 + cut));
            if (history.staged() != null) {
                assertTrue(history.staged().number() > last, "numbers never go back");
            }
        }
    }

    @Test
    public void versionUnderWhichTheProcessDiedTwiceIsQuarantined() {
        fresh();
        propose("a", 1, Documents.number(1));
        handle(new VersionEvent.BetweenDecisions());
        restart();
        assertEquals(inForce, Documents.number(1), "once may have been chance");
        assertTrue(history.watched());
        restart();
        assertEquals(inForce, Documents.usual());
        assertTrue(
                history.statuses().stream()
                        .anyMatch(of -> of.state() == VersionStatus.State.QUARANTINED));
        restart();
        assertEquals(inForce, Documents.usual(), "and stays so");
        VersionCommand.Rejected rejected =
                of(
                                propose("again", history.live().number(), Documents.number(1)),
                                VersionCommand.Rejected.class)
                        .get(0);
        assertTrue(rejected.errors().get(0).problem().contains("set aside"), rejected.toString());
    }

    @Test
    public void shutdownInOrderIsNoCrash() {
        fresh();
        propose("a", 1, Documents.number(1));
        handle(new VersionEvent.BetweenDecisions());
        for (int i = 0; i < 5; i++) {
            handle(new VersionEvent.ShuttingDown());
            restart();
            assertEquals(inForce, Documents.number(1));
            assertTrue(history.watched());
        }
    }

    @Test
    public void versionWithdrawnWhileStagedNeverGoesLive() {
        fresh();
        propose("a", 1, Documents.number(1));
        handle(new VersionEvent.RollbackRequested(2, "operator"));
        handle(new VersionEvent.BetweenDecisions());
        assertEquals(inForce, Documents.usual());
        assertEquals(history.statuses().get(1).state(), VersionStatus.State.ROLLED_BACK);
    }
}
