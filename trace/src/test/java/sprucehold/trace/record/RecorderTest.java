package sprucehold.trace.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.format.Samples;
import sprucehold.trace.format.TraceReader;

public class RecorderTest {
    private static final Logger LOG = Logger.getLogger(Recorder.class.getName());
    private Path folder;
    private final List<LogRecord> logged = new ArrayList<>();
    private final Handler handler =
            new Handler() {
                @Override
                public void publish(LogRecord line) {
                    synchronized (logged) {
                        logged.add(line);
                    }
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    @BeforeMethod
    public void prepare() throws IOException {
        folder = Files.createTempDirectory("recording");
        logged.clear();
        LOG.addHandler(handler);
        LOG.setUseParentHandlers(false);
    }

    @AfterMethod
    public void cleanUp() throws IOException {
        LOG.removeHandler(handler);
        LOG.setUseParentHandlers(true);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private RecordingSettings plan(long fileBytes, int keep, int waiting, int oneIn) {
        return new RecordingSettings(folder, fileBytes, 3_600_000, keep, waiting, oneIn);
    }

    private static void scan(Recorder recorder, int number, double now) {
        String id = "scan-" + number;
        recorder.record(
                now,
                List.of(new Event.QueryReceived(id, number, Samples.TYPE, null, 400)),
                List.of(new Command.AnswerQuery(id, true, Reason.COMPLETE)),
                false);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }

    private List<Entry> all() throws IOException {
        var entries = new ArrayList<Entry>();
        for (Path file : files()) {
            entries.addAll(Samples.read(file));
        }
        return entries;
    }

    /** Calls that are there and calls that gaps stand for, together: nothing is lost in silence. */
    private static long accounted(List<Entry> entries) {
        long next = 0;
        long calls = 0;
        for (Entry entry : entries) {
            assertTrue(entry.seq() >= next, "call " + entry.seq() + " after " + next);
            long of = entry instanceof Gap gap ? gap.calls() : 1;
            next = entry.seq() + of;
            calls += of;
        }
        return calls;
    }

    private long warnings() {
        synchronized (logged) {
            return logged.stream().filter(line -> line.getLevel().equals(Level.WARNING)).count();
        }
    }

    @Test
    public void everyCallIsInTheFilesAndFilesAreEndedBySize() throws IOException {
        try (var recorder = new Recorder(plan(1 << 10, 100, 1_000_000, 1), Samples.source("g 0"))) {
            for (int i = 0; i < 20_000; i++) {
                scan(recorder, i + 1, Samples.BEGIN + i);
            }
            // However slow the machine: the end of a process waits two seconds only.
            waitUntilIdle(recorder);
        }
        assertTrue(files().size() > 3, files().toString());
        assertEquals(accounted(all()), 20_000);
        for (Path file : files()) {
            try (TraceReader reader = TraceReader.open(file)) {
                assertTrue(reader.verify().sound());
            }
        }
    }

    @Test
    public void onlyTheNewestFilesAreKept() throws IOException {
        try (var recorder = new Recorder(plan(1 << 10, 2, 1_000_000, 1), Samples.source("g0"))) {
            for (int i = 0; i < 20_000; i++) {
                scan(recorder, i + 1, Samples.BEGIN + i);
            }
            // However slow the machine: the end of a process waits two seconds only.
            waitUntilIdle(recorder);
        }
        assertEquals(files().size(), 2);
        List<Entry> last = Samples.read(files().get(1));
        assertEquals(last.get(last.size() - 1).seq(), 19_999);
    }

    /** A disk on which nothing moves until it is let go. */
    @Test
    public void writerThatFallsBehindLeavesACountedGapAndHoldsNobodyUp() throws IOException {
        var letGo = new CountDownLatch(1);
        var recorder =
                new Recorder(
                        plan(1 << 20, 100, 1000, 1),
                        Samples.source("g0"),
                        file -> {
                            try {
                                letGo.await();
                            } catch (InterruptedException e) {
                                throw new IOException(e);
                            }
                            return Files.newOutputStream(file);
                        });
        for (int i = 0; i < 5000; i++) {
            // Would never return if the event loop waited for the disk.
            scan(recorder, i + 1, Samples.BEGIN + i);
        }
        letGo.countDown();
        // The gap is written with the next call that finds room.
        waitUntilIdle(recorder);
        scan(recorder, 5001, Samples.BEGIN + 5000);
        waitUntilIdle(recorder);
        recorder.close();
        List<Entry> entries = all();
        assertEquals(accounted(entries), 5001);
        // The writer may have freed a place or two before it stood still, so there may be several
        // gaps.
        long lost =
                entries.stream()
                        .filter(Gap.class::isInstance)
                        .mapToLong(gap -> ((Gap) gap).calls())
                        .sum();
        assertTrue(lost >= 4000, lost + " lost");
    }

    @Test
    public void fullDiskIsOneWarningAndAGapAndIsTriedAgain() throws IOException {
        var full = new AtomicBoolean(true);
        var recorder =
                new Recorder(
                        plan(1 << 20, 100, 1_000_000, 1),
                        Samples.source("g0"),
                        file -> {
                            OutputStream to = Files.newOutputStream(file);
                            return new OutputStream() {
                                private int written;

                                @Override
                                public void write(int b) throws IOException {
                                    write(new byte[] {(byte) b}, 0, 1);
                                }

                                @Override
                                public void write(byte[] bytes, int from, int count)
                                        throws IOException {
                                    written += count;
                                    if (full.get() && written > 30_000) {
                                        throw new IOException("No space left on device");
                                    }
                                    to.write(bytes, from, count);
                                }

                                @Override
                                public void close() throws IOException {
                                    to.close();
                                }
                            };
                        });
        int calls = 0;
        for (; calls < 30_000; calls++) {
            scan(recorder, calls + 1, Samples.BEGIN + calls * 0.5);
        }
        waitUntilIdle(recorder);
        assertEquals(warnings(), 1);
        full.set(false);
        // By the time of the calls, not of the wall: a minute later it is tried again.
        for (; calls < 31_000; calls++) {
            scan(recorder, calls + 1, Samples.BEGIN + 60_000 + calls);
        }
        waitUntilIdle(recorder);
        recorder.close();
        assertEquals(warnings(), 1);
        List<Entry> entries = all();
        assertEquals(accounted(entries), 31_000);
        assertTrue(entries.stream().anyMatch(Gap.class::isInstance));
        assertEquals(entries.get(entries.size() - 1).seq(), 30_999);
    }

    private static void waitUntilIdle(Recorder recorder) {
        while (!recorder.idle()) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void folderThatIsGoneIsOneWarningAndServingGoesOn() throws IOException {
        var gone = new RecordingSettings(folder.resolve("none"), 1 << 20, 1000, 5, 10_000, 1);
        DecisionPolicy module = (now, events) -> List.of(new Command.ScheduleWakeUp(1));
        try (var recorder = new Recorder(gone, Samples.source("g0"))) {
            var recording = new RecordingPolicy(module, recorder);
            for (int i = 0; i < 100; i++) {
                assertEquals(
                        recording.decide(Samples.BEGIN + i, List.of()),
                        List.of(new Command.ScheduleWakeUp(1)));
            }
        }
        assertEquals(warnings(), 1);
    }

    @Test
    public void moduleThatFailsIsRecordedSoAndFailsOn() throws IOException {
        DecisionPolicy module =
                (now, events) -> {
                    throw new IllegalStateException("lost");
                };
        try (var recorder = new Recorder(plan(1 << 20, 5, 10_000, 1), Samples.source("g0"))) {
            assertThrows(
                    IllegalStateException.class,
                    () ->
                            new RecordingPolicy(module, recorder)
                                    .decide(Samples.BEGIN, List.of(new Event.WakeUp())));
        }
        PolicyCall only = (PolicyCall) all().get(0);
        assertTrue(only.policyFailed() && only.events().size() == 1 && only.commands().isEmpty());
    }

    /** Records without end, to be killed; the first argument is the folder. */
    public static final class Endless {
        private Endless() {}

        public static void main(String[] args) {
            var recorder =
                    new Recorder(
                            new RecordingSettings(
                                    Path.of(args[0]), 1 << 24, 3_600_000, 1000, 100_000, 1),
                            Samples.source("g0"));
            for (int i = 0; true; i++) {
                scan(recorder, i + 1, Samples.BEGIN + i);
                while (i % 50 == 0 && !recorder.idle()) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    @Test
    public void killedAtRandomMomentsItLeavesFilesReadToTheirLastWholeBlock() throws Exception {
        var random = new java.util.Random(9);
        for (int kill = 0; kill < 4; kill++) {
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx64m",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    Endless.class.getName(),
                                    folder.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start();
            // Killed by how much it has written, at a byte that is anywhere within a block.
            long until = 3L * (1 << 16) + random.nextInt(1 << 17);
            while (written() < until) {
                assertTrue(process.isAlive());
                Thread.onSpinWait();
            }
            process.destroyForcibly().waitFor();
            List<Path> files = files();
            assertEquals(files.size(), 1);
            try (TraceReader reader = TraceReader.open(files.get(0))) {
                assertNotNull(reader.damage());
            }
            long next = 0;
            for (Entry entry : Samples.read(files.get(0))) {
                assertEquals(entry.seq(), next++);
            }
            assertTrue(next > 1000, next + " calls");
            for (Path file : files) {
                Files.delete(file);
            }
        }
    }

    private long written() throws IOException {
        long all = 0;
        for (Path file : files()) {
            all += Files.exists(file) ? Files.size(file) : 0;
        }
        return all;
    }

    @Test
    public void planThatCantBeUsedSaysAllThatIsWrongInOneLine() throws IOException {
        Path file = folder.resolve("plan.json");
        String[][] plans = {
            {"{\"folder\": 3, \"oneIn\": 0}", "folder", "oneIn"},
            {"{}", "folder"},
            {"{\"folder\":", "line 1"},
            {"{\"folder\":\"x\",\"folders\":1}", "folders"},
            {"{\"folder\":\"x\",\"folder\":\"y\"}", "uplicate"},
        };
        for (String[] plan : plans) {
            Files.writeString(file, plan[0]);
            try {
                RecordingSettings.read(file);
                throw new AssertionError("read " + plan[0]);
            } catch (RecordingSettings.InvalidSettingsException e) {
                assertEquals(e.getMessage().lines().count(), 1);
                for (int i = 1; i < plan.length; i++) {
                    assertTrue(e.getMessage().contains(plan[i]), e.getMessage());
                }
            }
        }
        Files.writeString(file, "{\"folder\": \"here\", \"oneIn\": 7}");
        RecordingSettings plan = RecordingSettings.read(file);
        assertEquals(plan.folder(), folder.resolve("here").toAbsolutePath());
        assertEquals(plan.oneIn(), 7);
        assertFalse(plan.fileBytes() <= 0);
    }
}
