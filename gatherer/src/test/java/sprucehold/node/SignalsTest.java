package sprucehold.node;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.SkipException;
import org.testng.annotations.Test;

/** Tests of the signal handlers. */
public class SignalsTest {
    @Test
    public void actionRunsOnEachSighup() throws Exception {
        String ignored =
                Files.readAllLines(Path.of("/proc/self/status")).stream()
                        .filter(line -> line.startsWith("SigIgn:"))
                        .findAny()
                        .orElseThrow()
                        .replaceAll(".*\\s", "");
        if ((Long.parseUnsignedLong(ignored, 16) & 1) != 0) {
            throw new SkipException(
                    "started with SIGHUP ignored, as under nohup, which the JVM keeps");
        }
        var actionRuns = new Semaphore(0);
        Signals.onHangUp(actionRuns::release);
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder("kill", "-HUP", String.valueOf(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
            assertTrue(actionRuns.tryAcquire(10, TimeUnit.SECONDS));
        }
    }
}
