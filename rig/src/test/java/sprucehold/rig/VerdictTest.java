package sprucehold.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.Endpoint;
import sprucehold.rig.script.Script;
import sprucehold.rig.verdict.Figures;
import sprucehold.rig.verdict.LedgerFile;
import sprucehold.rig.verdict.Outcome;
import sprucehold.rig.verdict.Verdict;
import sprucehold.rig.verdict.VerdictBuilder;
import sprucehold.standin.ledger.Seen;

/** Tests how ledgers are stored, and the verdicts on them. */
public class VerdictTest {
    private static final Figures.Self IN_TIME = new Figures.Self(1, 5, 0.5, 80, 0.1, 0);
    private static final Seen.Asked ASKED =
            new Seen.Asked(100, "a-0", "s", "stamps", 1500, Map.of(1, 1.0));
    private static final Seen.Arrived ARRIVED = new Seen.Arrived(110, "a-0", "x", "s", 1, 500);
    private static final Seen.Ran RAN = new Seen.Ran(120, "x", "s", 1, "v");
    private static final Seen.Answered ANSWERED =
            new Seen.Answered(130, "s", Seen.Answer.COMPLETED, true, Map.of(1, "v"));

    private static Seen.HeldUp heldUp(double from, double to, boolean killed) {
        return new Seen.HeldUp(from, to, "a-0", killed);
    }

    @DataProvider
    Object[][] runs() {
        return new Object[][] {
            // name, ledger, whether a rule is broken
            {"no rule broken", List.of(ASKED, ARRIVED, RAN, ANSWERED), false},
            {"closed without an answer", List.of(ASKED, closed(200)), true},
            {"closed as it was killed", List.of(ASKED, heldUp(190, 201, true), closed(200)), false},
            {
                "closed long before it was killed",
                List.of(ASKED, closed(200), heldUp(900, 901, true)),
                true
            },
            {"no answer", List.of(ASKED, heldUp(5000, 5001, true)), true},
            {"no answer as it was paused", List.of(ASKED, heldUp(300, 4000, false)), false},
            {
                "answered late because of its pause",
                List.of(ASKED, heldUp(300, 4000, false), throttled(4010)),
                false
            },
            {"answered late without a pause", List.of(ASKED, throttled(4010)), true},
            {
                "no answer though its pause was over in time",
                List.of(ASKED, heldUp(300, 1000, false)),
                true
            },
            {
                "closed as it was paused",
                List.of(ASKED, heldUp(300, 1000, false), closed(1001)),
                true
            },
            {
                "sent for a client that left in its pause",
                List.of(ASKED, heldUp(110, 310, false), clientLeft(120), arrived(312)),
                true
            },
            {
                "sent before its pause for a client that left",
                List.of(ASKED, clientLeft(120), arrived(260)),
                false
            },
            {
                "an attempt with more time than its client has left",
                List.of(ASKED, arrived(110, 1800), ANSWERED),
                true
            },
            {
                "a pause excuses no effect twice",
                List.of(
                        ASKED,
                        ARRIVED,
                        RAN,
                        heldUp(300, 900, false),
                        new Seen.Ran(400, "y", "s", 1, "w"),
                        ANSWERED),
                true
            },
            {
                "a pause excuses no wrong answer",
                List.of(
                        ASKED,
                        ARRIVED,
                        RAN,
                        heldUp(300, 900, false),
                        new Seen.Answered(
                                950, "s", Seen.Answer.COMPLETED, true, Map.of(1, "other"))),
                true
            },
            {"sent to a drained server", List.of(ASKED, drainSent(100), arrived(700)), true},
            {
                "notified of the drain while it was paused",
                List.of(ASKED, drainSent(100), heldUp(90, 600, false), arrived(700)),
                true
            },
            {
                "paused long after it was notified of the drain",
                List.of(ASKED, drainSent(100), heldUp(600, 690, false), arrived(700)),
                true
            },
            {
                "a cold server overloaded",
                List.of(new Seen.FellOver(5, "x", Map.of("a-0", 900.0, "b-0", 800.0))),
                true
            },
        };
    }

    private static Seen.Answered closed(double at) {
        return new Seen.Answered(at, "s", Seen.Answer.CLOSED, false, Map.of());
    }

    private static Seen.Answered throttled(double at) {
        return new Seen.Answered(at, "s", Seen.Answer.THROTTLED, false, Map.of());
    }

    private static Seen.Told drainSent(double at) {
        return new Seen.Told(at, "a-0", "x", Endpoint.State.DRAINING);
    }

    private static Seen.Left clientLeft(double at) {
        return new Seen.Left(at, "s");
    }

    private static Seen.Arrived arrived(double at, double timeoutMs) {
        return new Seen.Arrived(at, "a-0", "x", "s", 1, timeoutMs);
    }

    private static Seen.Arrived arrived(double at) {
        return new Seen.Arrived(at, "a-0", "x", "s", 1, 500);
    }

    @Test(dataProvider = "runs")
    public void onlyEffectsOfTheRigsOwnFaultsAreExcused(
            String name, List<Seen> seen, boolean broken) throws IOException {
        Script script = Scripts.shipped("calm");
        var entries = new ArrayList<>(seen);
        if (name.startsWith("sent") || name.contains("drain")) {
            entries.add(new Seen.Answered(800, "s", Seen.Answer.ABANDONED, false, Map.of()));
        }
        Verdict verdict =
                VerdictBuilder.evaluate(
                        script.with(List.of()),
                        entries,
                        9000,
                        List.of(outcome(true)),
                        IN_TIME,
                        List.of());
        assertEquals(
                verdict.kind(),
                broken ? Verdict.Kind.BROKEN : Verdict.Kind.PASSED,
                verdict.why().toString());
        Path file = Files.createTempFile("ledger", ".jsonl");
        LedgerFile.write(file, entries);
        assertEquals(LedgerFile.read(file), entries);
        Files.delete(file);
    }

    private static Outcome outcome(boolean inTime) {
        return new Outcome(10, 30, "a", "offers", "acme", "WHOLE", inTime, 0.5);
    }

    @Test
    public void aStarvedRigAFigureOutsideItsBandAndACrashHaveTheirOwnVerdicts() {
        Script script = Scripts.shipped("calm");
        var broken = List.<Seen>of(ASKED, closed(200));
        assertEquals(
                VerdictBuilder.evaluate(
                                script,
                                broken,
                                9000,
                                List.of(),
                                new Figures.Self(80, 100, 1, 1, 0, 0),
                                List.of())
                        .kind(),
                Verdict.Kind.STARVED);
        assertEquals(
                VerdictBuilder.evaluate(
                                script,
                                List.of(),
                                9000,
                                List.of(outcome(false)),
                                IN_TIME,
                                List.of())
                        .kind(),
                Verdict.Kind.OUT_OF_BAND);
        assertEquals(
                VerdictBuilder.evaluate(
                                script,
                                List.of(),
                                9000,
                                List.of(outcome(true)),
                                IN_TIME,
                                List.of("a-0 ended"))
                        .kind(),
                Verdict.Kind.BROKEN);
    }

    @Test
    public void theReasonNamesTheGathererThatOverloadedAColdServerAndItsLoad() {
        var verdict =
                VerdictBuilder.evaluate(
                        Scripts.shipped("calm"),
                        List.of(new Seen.FellOver(5, "x", Map.of("a-0", 900.0))),
                        9000,
                        List.of(),
                        IN_TIME,
                        List.of());
        assertTrue(verdict.why().get(0).contains("a-0=900.0"), verdict.why().toString());
    }

    @Test
    public void aTruncatedLedgerGivesOneErrorWithItsLine() throws IOException {
        Path file = Files.createTempFile("ledger", ".jsonl");
        Files.writeString(file, "{\"seen\":\"Left\",\"atMs\":3.0,\"scan\":\"s\"}\n{\"seen\":\"Le");
        String message = expectThrows(IOException.class, () -> LedgerFile.read(file)).getMessage();
        assertTrue(message.contains(", line 2: a ledger entry was expected"), message);
        Files.delete(file);
    }
}
