package sprucehold.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.Deployment;
import sprucehold.rig.process.GathererProgram;
import sprucehold.rig.report.RunPage;
import sprucehold.rig.run.Run;
import sprucehold.rig.run.RunFolder;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.rig.verdict.Verdict;

/**
 * Plays whole runs with real processes: the shipped gatherer, and gatherers that break a rule on
 * purpose.
 */
public class RunTest {
    /**
     * A run on a machine that is too busy proves nothing and is repeated. If the machine is too
     * busy for every run, the test fails.
     */
    private static final int TRIES = 3;

    private Path folder;
    private Path last;

    @BeforeMethod
    public void open() throws IOException {
        folder = Files.createTempDirectory("rig");
    }

    @AfterMethod
    public void close() throws IOException {
        try (var all = Files.walk(folder)) {
            for (Path path : all.sorted((one, other) -> other.compareTo(one)).toList()) {
                Files.delete(path);
            }
        }
    }

    private Verdict play(Script script, GathererProgram program) throws IOException {
        Verdict verdict = null;
        for (int i = 0;
                i < TRIES && (verdict == null || verdict.kind() == Verdict.Kind.STARVED);
                i++) {
            last = folder.resolve("run-" + i);
            verdict = Run.play(script, 3, program, RunFolder.make(last), line -> {});
        }
        return verdict;
    }

    private static GathererProgram gathererWith(String behaviour) {
        return new GathererProgram(
                Path.of("").toAbsolutePath(),
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sprucehold.rig.RuleBreakingGatherer",
                        behaviour));
    }

    /**
     * Returns a script with one site, one gatherer, two shard servers per replica group and the
     * given faults, such as a server that drains. The retry budget, if there is one, is so small
     * that one more attempt in ten exceeds it.
     */
    private static Script small(boolean budget, Fault... faults) {
        Script calm = Scripts.calm(2);
        return new Script(
                "small",
                2,
                List.of(new Script.Site("a", 1, 2)),
                12,
                2,
                calm.tableTypes(),
                calm.customers(),
                calm.servers(),
                calm.limits(),
                new Deployment.SlowStartRule(0.2, 5000, 0.02, 1000),
                budget ? new Deployment.RetryBudget(1, 0.1, 1000) : Deployment.RetryBudget.NONE,
                500,
                calm.load().stream()
                        .filter(load -> load.site().equals("a"))
                        .map(
                                load ->
                                        new Script.Load(
                                                "a",
                                                load.customer(),
                                                load.tableType(),
                                                10,
                                                load.parts(),
                                                0,
                                                List.of(),
                                                0,
                                                100,
                                                Double.POSITIVE_INFINITY))
                        .toList(),
                List.of(faults),
                new Script.Bands(0));
    }

    private static Fault drain() {
        return new Fault(
                "drain",
                Fault.Kind.DRAIN,
                List.of("s-a-0-0"),
                List.of(),
                0,
                0.5,
                null,
                Double.POSITIVE_INFINITY,
                0,
                Fault.Mode.SILENT,
                false,
                List.of());
    }

    private static Fault die() {
        return new Fault(
                "die",
                Fault.Kind.DIE,
                List.of("s-a-0-0"),
                List.of(),
                0,
                0.2,
                null,
                0.5,
                0,
                Fault.Mode.SILENT,
                false,
                List.of());
    }

    @DataProvider
    Object[][] behaviours() {
        return new Object[][] {
            {"KEEPS_RULES", small(true, drain()), Set.of()},
            {"LEAVES_UNANSWERED", small(true, drain()), Set.of("ONE_ANSWER")},
            {"SENDS_AFTER_ANSWERING", small(false), Set.of("ONE_ANSWER")},
            {"RUNS_TWICE", small(false), Set.of("NO_EFFECT_TWICE")},
            {"IGNORES_DRAINS", small(true, drain()), Set.of("DRAINS")},
            {"KEEPS_RULES", small(false, die()), Set.of("COLD")},
            {"RETURNS_WRONG_VALUES", small(true, drain()), Set.of("HONEST")},
            {"CLAIMS_FULL_COVERAGE", small(true), Set.of("HONEST")},
            {"EXCEEDS_RETRY_BUDGET", small(true), Set.of("BUDGET")},
        };
    }

    @Test(dataProvider = "behaviours")
    public void exactlyTheRulesBrokenOnPurposeAreReported(
            String behaviour, Script script, Set<String> rules) throws IOException {
        Verdict verdict = play(script, gathererWith(behaviour));
        assertEquals(
                verdict.why().stream()
                        .map(why -> why.split(" ")[0])
                        .collect(Collectors.toCollection(TreeSet::new)),
                new TreeSet<>(rules),
                verdict.why().toString());
        assertTrue(
                verdict.figures().scans() > 30,
                "too few queries for a verdict: " + verdict.figures());
    }

    @DataProvider
    Object[][] scripts() {
        return new Object[][] {
            {"calm"}, {"one-killed"}, {"site-cut"}, {"grey"}, {"deaf"}, {"restarts-among-hanging"}
        };
    }

    @Test(dataProvider = "scripts")
    public void theShippedProgramKeepsTheRules(String name) throws IOException {
        Script script = Scripts.shipped(name);
        Verdict verdict = play(script, GathererProgram.find());
        assertEquals(verdict.kind(), Verdict.Kind.PASSED, verdict.why().toString());
        var run = new RunFolder(last);
        assertEquals(run.judge(), verdict, "the stored ledgers must give the verdict of the run");
        String page = RunPage.html(script, run.kept(), verdict);
        assertTrue(
                page.contains("<svg")
                        && script.faults().stream().allMatch(fault -> page.contains(fault.name())),
                name);
    }

    /**
     * Pauses gatherers repeatedly, for 0.15 s or longer, while clients leave after 40 ms. A pause
     * excuses no broken rule.
     */
    @Test
    public void theShippedProgramKeepsTheRulesWhenPausedWhileClientsLeave() throws IOException {
        Verdict verdict = play(Scripts.shipped("held-up-among-leaving"), GathererProgram.find());
        assertEquals(verdict.kind(), Verdict.Kind.PASSED, verdict.why().toString());
    }

    @Test
    public void aProgramThatFailsToStartGivesOneErrorWithItsLastLogLine() {
        String message =
                expectThrows(
                                IOException.class,
                                () -> play(small(false), gathererWith("FAILS_TO_START")))
                        .getMessage();
        assertTrue(
                message.contains("a-0 ended with exit code 7 before it was ready: out of luck"),
                message);
    }

    @Test
    public void aProgramThatIgnoresSigtermIsKilledAndReported() throws IOException {
        Verdict verdict = play(small(false), gathererWith("IGNORES_SIGTERM"));
        assertEquals(verdict.kind(), Verdict.Kind.BROKEN);
        assertTrue(
                verdict.why()
                        .get(0)
                        .contains("a-0 did not end within 12 s of SIGTERM and was killed"),
                verdict.why().toString());
        assertTrue(ProcessHandle.current().children().noneMatch(ProcessHandle::isAlive));
    }

    @Test
    public void aProgramThatFloodsItsLogContinuesAndIsReported() throws IOException {
        Verdict verdict = play(small(false), gathererWith("FLOODS_ITS_LOG"));
        assertTrue(
                verdict.why().contains("a-0 flooded its log") && verdict.why().size() == 1,
                verdict.why().toString());
    }

    @Test
    public void aPanicInAGatherersLogFailsARunThatKeptAllRules() throws IOException {
        Verdict verdict = play(small(false), gathererWith("PANICS"));
        assertEquals(
                verdict.why(),
                List.of("a-0 logged: 2026-12-01T10:00:00.000 SEVERE panic: out of luck"));
        assertEquals(verdict.kind(), Verdict.Kind.BROKEN);
    }
}
