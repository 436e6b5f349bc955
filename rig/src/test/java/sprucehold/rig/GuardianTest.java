package sprucehold.rig;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sprucehold.rig.plan.Addresses;
import sprucehold.rig.process.GathererProgram;
import sprucehold.rig.run.Run;
import sprucehold.rig.run.RunFolder;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;

/**
 * Tests that a rig that is killed leaves no process running, and that two rigs use different
 * addresses.
 */
public class GuardianTest {
    /**
     * Main class of a rig in a process of its own. It plays a long run whose gatherers are paused,
     * so that they can't end by themselves.
     */
    public static final class Rig {
        private Rig() {}

        public static void main(String[] args) throws IOException {
            var pause =
                    new Fault(
                            "pause",
                            Fault.Kind.PAUSE,
                            List.of("gatherers"),
                            List.of(),
                            0,
                            0.2,
                            null,
                            100,
                            0,
                            Fault.Mode.SILENT,
                            false,
                            List.of());
            Script script = Scripts.calm(100, pause);
            var program =
                    new GathererProgram(
                            Path.of("").toAbsolutePath(),
                            List.of(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "sprucehold.rig.RuleBreakingGatherer",
                                    "KEEPS_RULES"));
            Run.play(script, 1, program, RunFolder.make(Path.of(args[0])), System.out::println);
        }
    }

    @Test
    public void killingTheRigEndsAllItsProcesses() throws Exception {
        Path folder = Files.createTempDirectory("rig");
        Process rig =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "sprucehold.rig.GuardianTest$Rig",
                                folder.toString())
                        .redirectErrorStream(true)
                        .start();
        try (var lines = new BufferedReader(new InputStreamReader(rig.getInputStream()))) {
            String line = lines.readLine();
            while (line != null && !line.contains("pause begins")) {
                line = lines.readLine();
            }
            assertTrue(line != null, "the rig ended before its fault");
            List<ProcessHandle> descendants = rig.descendants().toList();
            assertTrue(
                    descendants.size() >= 5,
                    "four gatherers and a guardian were expected: " + descendants);
            rig.destroyForcibly();
            for (ProcessHandle process : descendants) {
                CompletableFuture<ProcessHandle> ended = process.onExit();
                ended.get(20, TimeUnit.SECONDS);
                assertFalse(process.isAlive());
            }
        } finally {
            rig.destroyForcibly().waitFor();
        }
    }

    @Test
    public void twoRigsReserveDifferentAddresses() throws IOException {
        try (var one = Addresses.claim();
                var other = Addresses.claim()) {
            assertNotEquals(one.gathererHost(0), other.gathererHost(0));
        }
    }
}
