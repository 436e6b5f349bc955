package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucehold.change.document.Document;
import sprucehold.change.document.Running;
import sprucehold.change.line.JournalEntry;
import sprucehold.change.line.LineAction;
import sprucehold.change.line.LineEvent;
import sprucehold.change.line.Outcome;
import sprucehold.change.line.VersionLine;

public class VersionLineTest {
    private VersionLine line = new VersionLine(Documents.usual());
    private List<JournalEntry> journal = new ArrayList<>();
    private Document inForce = Documents.usual();

    private List<LineAction> on(LineEvent event) {
        List<LineAction> actions = line.on(event);
        for (LineAction action : actions) {
            if (action instanceof LineAction.Write write) {
                journal.add(write.entry());
            } else if (action instanceof LineAction.Apply apply) {
                inForce = apply.version().document();
            }
        }
        return actions;
    }

    private List<LineAction> propose(String id, long from, Document document) {
        return on(new LineEvent.Proposed(id, "operator", from, document, Running.NOTHING));
    }

    private void fresh() {
        line = new VersionLine(Documents.usual());
        journal = new ArrayList<>();
        inForce = Documents.usual();
    }

    private static <A extends LineAction> List<A> of(List<LineAction> actions, Class<A> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    @Test
    public void changeIsStagedAppliedWatchedAndConfirmed() {
        fresh();
        assertEquals(
                of(propose("a", 1, Documents.number(1)), LineAction.Accepted.class)
                        .get(0)
                        .version()
                        .number(),
                2);
        assertEquals(inForce, Documents.usual(), "not before the moment is over");
        on(new LineEvent.BetweenMoments());
        assertEquals(inForce, Documents.number(1));
        assertTrue(line.watched());
        on(new LineEvent.Judged(2, false, "held"));
        assertFalse(line.watched());
        assertEquals(line.confirmed().number(), 2);
    }

    @Test
    public void harmfulChangeIsUndoneUnderANewNumber() {
        fresh();
        propose("a", 1, Documents.number(1));
        on(new LineEvent.BetweenMoments());
        on(new LineEvent.Judged(2, true, "fell"));
        assertEquals(inForce, Documents.usual());
        assertEquals(line.live().number(), 3);
        assertEquals(line.live().undoes(), 2);
        // The watch's late word on a version that is gone changes nothing.
        assertTrue(on(new LineEvent.Judged(2, true, "fell")).isEmpty());
        assertTrue(on(new LineEvent.ConfirmAsked(2, "late operator")).isEmpty());
        assertEquals(inForce, Documents.usual());
    }

    @Test
    public void secondOfTwoOperatorsIsTurnedDownAndToldWhatChangedMeanwhile() {
        fresh();
        propose("a", 1, Documents.number(1));
        List<LineAction> second = propose("b", 1, Documents.number(2));
        LineAction.TurnedDown down = of(second, LineAction.TurnedDown.class).get(0);
        assertTrue(
                down.meanwhile().words().get(0).words().contains("from 200 to 201"),
                down.toString());
        on(new LineEvent.BetweenMoments());
        assertEquals(inForce, Documents.number(1));
    }

    @Test
    public void secondChangeDuringTheWatchIsTurnedDown() {
        fresh();
        propose("a", 1, Documents.number(1));
        on(new LineEvent.BetweenMoments());
        assertEquals(
                of(propose("b", 2, Documents.number(2)), LineAction.TurnedDown.class).size(), 1);
        on(new LineEvent.Judged(2, false, "held"));
        assertEquals(of(propose("c", 2, Documents.number(2)), LineAction.Accepted.class).size(), 1);
    }

    @Test
    public void sameProposalTwiceIsOneAlsoAfterARestart() {
        fresh();
        propose("a", 1, Documents.number(1));
        assertEquals(
                of(propose("a", 1, Documents.number(1)), LineAction.AlreadyThere.class)
                        .get(0)
                        .number(),
                2);
        on(new LineEvent.BetweenMoments());
        on(new LineEvent.ConfirmAsked(2, "operator"));
        restart();
        assertEquals(
                of(propose("a", 1, Documents.number(1)), LineAction.AlreadyThere.class)
                        .get(0)
                        .number(),
                2);
        assertEquals(inForce, Documents.number(1));
    }

    private void restart() {
        line = new VersionLine(Documents.usual());
        inForce = null;
        on(new LineEvent.Started(List.copyOf(journal)));
    }

    @Test
    public void killedBetweenAnyTwoStepsItStartsWithOneWholeVersion() {
        fresh();
        propose("a", 1, Documents.number(1));
        on(new LineEvent.BetweenMoments());
        on(new LineEvent.Judged(2, false, "held"));
        propose("b", 2, Documents.number(2));
        on(new LineEvent.BetweenMoments());
        on(new LineEvent.Judged(3, true, "fell"));
        propose("c", 4, Documents.number(3));
        on(new LineEvent.BetweenMoments());
        List<JournalEntry> all = List.copyOf(journal);
        List<Document> whole =
                List.of(
                        Documents.usual(),
                        Documents.number(1),
                        Documents.number(2),
                        Documents.number(3));
        for (int cut = 0; cut <= all.size(); cut++) {
            journal = new ArrayList<>(all.subList(0, cut));
            restart();
            assertTrue(whole.contains(inForce), "after " + cut + " steps");
            assertEquals(inForce, line.live().document());
            // A version that was confirmed before the kill is never lost.
            for (JournalEntry entry : all.subList(0, cut)) {
                if (entry instanceof JournalEntry.Confirmed confirmed) {
                    assertTrue(line.confirmed().number() >= confirmed.number());
                }
            }
            long last = line.live().number();
            propose("after-" + cut, line.live().number(), Documents.number(50 + cut));
            if (line.staged() != null) {
                assertTrue(line.staged().number() > last, "numbers never go back");
            }
        }
    }

    @Test
    public void versionThatKilledTheProcessTwiceIsSetAside() {
        fresh();
        propose("a", 1, Documents.number(1));
        on(new LineEvent.BetweenMoments());
        restart();
        assertEquals(inForce, Documents.number(1), "once may have been chance");
        assertTrue(line.watched());
        restart();
        assertEquals(inForce, Documents.usual());
        assertTrue(line.history().stream().anyMatch(of -> of.how() == Outcome.State.SET_ASIDE));
        restart();
        assertEquals(inForce, Documents.usual(), "and stays so");
        LineAction.TurnedDown down =
                of(
                                propose("again", line.live().number(), Documents.number(1)),
                                LineAction.TurnedDown.class)
                        .get(0);
        assertTrue(down.faults().get(0).what().contains("set aside"), down.toString());
    }

    @Test
    public void endInGoodOrderIsNoDeath() {
        fresh();
        propose("a", 1, Documents.number(1));
        on(new LineEvent.BetweenMoments());
        for (int i = 0; i < 5; i++) {
            on(new LineEvent.Ending());
            restart();
            assertEquals(inForce, Documents.number(1));
            assertTrue(line.watched());
        }
    }

    @Test
    public void withdrawnBeforeItIsLiveItNeverGoesLive() {
        fresh();
        propose("a", 1, Documents.number(1));
        on(new LineEvent.UndoAsked(2, "operator"));
        on(new LineEvent.BetweenMoments());
        assertEquals(inForce, Documents.usual());
        assertEquals(line.history().get(1).how(), Outcome.State.UNDONE);
    }
}
