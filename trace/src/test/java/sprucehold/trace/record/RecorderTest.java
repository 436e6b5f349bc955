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

    private RecordingSettings settings(
            long fileBytes, int keepFiles, int waitingRecords, int oneIn) {
        return new RecordingSettings(
                folder, fileBytes, 3_600_000, keepFiles, waitingRecords, oneIn);
    }

    private static void recordQuery(Recorder recorder, int number, double now) {
        String id = "scan-" + number;
        recorder.record(
                now,
                List.of(new Event.QueryReceived(id, number, Samples.IDEMPOTENT_CLASS, null, 400)),
                List.of(new Command.AnswerQuery(id, true, Reason.COMPLETE)),
                false);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.sorted().toList();
        }
    }

    private List<Entry> recordedEntries() throws IOException {
        var entries = new ArrayList<Entry>();
        for (Path file : files()) {
            entries.addAll(Samples.read(file));
        }
        return entries;
    }

    /** Counts recorded calls and calls lost in gaps, and checks that their numbers ascend. */
    private static long countCalls(List<Entry> entries) {
        long nextSeq = 0;
        long calls = 0;
        for (Entry entry : entries) {
            assertTrue(entry.seq() >= nextSeq, "call " + entry.seq() + " after " + nextSeq);
            long entryCalls = entry instanceof Gap gap ? gap.calls() : 1;
            nextSeq = entry.seq() + entryCalls;
            calls += entryCalls;
        }
        return calls;
    }

    private long warnings() {
        synchronized (logged) {
            return logged.stream().filter(line -> line.getLevel().equals(Level.WARNING)).count();
        }
    }

    @Test
    public void everyCallIsRecordedAndFilesAreEndedAtTheirSize() throws IOException {
        try (var recorder =
                new Recorder(settings(1 << 10, 100, 1_000_000, 1), Samples.source("g 0"))) {
            for (int i = 0; i < 20_000; i++) {
                recordQuery(recorder, i + 1, Samples.START_MS + i);
            }
            // The recorder waits only 2 s in close(), which may be too short on a slow machine.
            waitUntilIdle(recorder);
        }
        assertTrue(files().size() > 3, files().toString());
        assertEquals(countCalls(recordedEntries()), 20_000);
        for (Path file : files()) {
            try (TraceReader reader = TraceReader.open(file)) {
                assertTrue(reader.verify().valid());
            }
        }
    }

    @Test
    public void onlyTheNewestFilesAreKept() throws IOException {
        try (var recorder =
                new Recorder(settings(1 << 10, 2, 1_000_000, 1), Samples.source("g0"))) {
            for (int i = 0; i < 20_000; i++) {
                recordQuery(recorder, i + 1, Samples.START_MS + i);
            }
            // The recorder waits only 2 s in close(), which may be too short on a slow machine.
            waitUntilIdle(recorder);
        }
        assertEquals(files().size(), 2);
        List<Entry> last = Samples.read(files().get(1));
        assertEquals(last.get(last.size() - 1).seq(), 19_999);
    }

    /** Opening a file blocks until the latch is released, as on a disk that doesn't respond. */
    @Test
    public void blockedWriterLeavesACountedGapAndDoesNotBlockTheCaller() throws IOException {
        var release = new CountDownLatch(1);
        var recorder =
                new Recorder(
                        settings(1 << 20, 100, 1000, 1),
                        Samples.source("g0"),
                        file -> {
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                throw new IOException(e);
                            }
                            return Files.newOutputStream(file);
                        });
        for (int i = 0; i < 5000; i++) {
            // This call would not return if the event loop waited for the disk.
            recordQuery(recorder, i + 1, Samples.START_MS + i);
        }
        release.countDown();
        // The gap is recorded with the next call that fits into the queue.
        waitUntilIdle(recorder);
        recordQuery(recorder, 5001, Samples.START_MS + 5000);
        waitUntilIdle(recorder);
        recorder.close();
        List<Entry> entries = recordedEntries();
        assertEquals(countCalls(entries), 5001);
        // The writer may have taken a few entries from the queue before it blocked, so there may be
        // several gaps.
        long lost =
                entries.stream()
                        .filter(Gap.class::isInstance)
                        .mapToLong(gap -> ((Gap) gap).calls())
                        .sum();
        assertTrue(lost >= 4000, lost + " lost");
    }

    @Test
    public void fullDiskLogsOneWarningLeavesAGapAndIsRetried() throws IOException {
        var full = new AtomicBoolean(true);
        var recorder =
                new Recorder(
                        settings(1 << 20, 100, 1_000_000, 1),
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
            recordQuery(recorder, calls + 1, Samples.START_MS + calls * 0.5);
        }
        waitUntilIdle(recorder);
        assertEquals(warnings(), 1);
        full.set(false);
        // The retry delay is measured by the times of the calls, not by the wall clock. These calls
        // are a minute later, so the recorder retries.
        for (; calls < 31_000; calls++) {
            recordQuery(recorder, calls + 1, Samples.START_MS + 60_000 + calls);
        }
        waitUntilIdle(recorder);
        recorder.close();
        assertEquals(warnings(), 1);
        List<Entry> entries = recordedEntries();
        assertEquals(countCalls(entries), 31_000);
        assertTrue(entries.stream().anyMatch(Gap.class::isInstance));
        assertEquals(entries.get(entries.size() - 1).seq(), 30_999);
    }

    private static void waitUntilIdle(Recorder recorder) {
        while (!recorder.idle()) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void missingFolderLogsOneWarningAndDecisionsContinue() throws IOException {
        var missingFolder =
                new RecordingSettings(folder.resolve("none"), 1 << 20, 1000, 5, 10_000, 1);
        DecisionPolicy policy = (now, events) -> List.of(new Command.ScheduleWakeUp(1));
        try (var recorder = new Recorder(missingFolder, Samples.source("g0"))) {
            var recording = new RecordingPolicy(policy, recorder);
            for (int i = 0; i < 100; i++) {
                assertEquals(
                        recording.decide(Samples.START_MS + i, List.of()),
                        List.of(new Command.ScheduleWakeUp(1)));
            }
        }
        assertEquals(warnings(), 1);
    }

    @Test
    public void policyFailureIsRecordedAndRethrown() throws IOException {
        DecisionPolicy policy =
                (now, events) -> {
                    throw new IllegalStateException("lost");
                };
        try (var recorder = new Recorder(settings(1 << 20, 5, 10_000, 1), Samples.source("g0"))) {
            assertThrows(
                    IllegalStateException.class,
                    () ->
                            new RecordingPolicy(policy, recorder)
                                    .decide(Samples.START_MS, List.of(new Event.WakeUp())));
        }
        PolicyCall call = (PolicyCall) recordedEntries().get(0);
        assertTrue(call.policyFailed() && call.events().size() == 1 && call.commands().isEmpty());
    }

    /** Records calls until the process is killed; the first argument is the folder. */
    public static final class EndlessRecording {
        private EndlessRecording() {}

        public static void main(String[] args) {
            var recorder =
                    new Recorder(
                            new RecordingSettings(
                                    Path.of(args[0]), 1 << 24, 3_600_000, 1000, 100_000, 1),
                            Samples.source("g0"));
            for (int i = 0; true; i++) {
                recordQuery(recorder, i + 1, Samples.START_MS + i);
                while (i % 50 == 0 && !recorder.idle()) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    @Test
    public void fileOfAKilledProcessIsReadUpToItsLastCompleteBlock() throws Exception {
        var random = new java.util.Random(9);
        for (int kill = 0; kill < 4; kill++) {
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx64m",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    EndlessRecording.class.getName(),
                                    folder.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start();
            // The process is killed after a random number of written bytes, so that the file ends
            // at any position within a block.
            long killAtBytes = 3L * (1 << 16) + random.nextInt(1 << 17);
            while (writtenBytes() < killAtBytes) {
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

    private long writtenBytes() throws IOException {
        long total = 0;
        for (Path file : files()) {
            total += Files.exists(file) ? Files.size(file) : 0;
        }
        return total;
    }

    @Test
    public void invalidSettingsReportAllFaultsInOneLine() throws IOException {
        Path file = folder.resolve("plan.json");
        String[][] invalidSettings = {
            {"{\"folder\": 3, \"oneIn\": 0}", "folder", "oneIn"},
            {"{}", "folder"},
            {"{\"folder\":", "line 1"},
            {"{\"folder\":\"x\",\"folders\":1}", "folders"},
            {"{\"folder\":\"x\",\"folder\":\"y\"}", "uplicate"},
        };
        for (String[] settingsAndFaults : invalidSettings) {
            Files.writeString(file, settingsAndFaults[0]);
            try {
                RecordingSettings.read(file);
                throw new AssertionError("read " + settingsAndFaults[0]);
            } catch (RecordingSettings.InvalidSettingsException e) {
                assertEquals(e.getMessage().lines().count(), 1);
                for (int i = 1; i < settingsAndFaults.length; i++) {
                    assertTrue(e.getMessage().contains(settingsAndFaults[i]), e.getMessage());
                }
            }
        }
        Files.writeString(file, "{\"folder\": \"here\", \"oneIn\": 7}");
        RecordingSettings settings = RecordingSettings.read(file);
        assertEquals(settings.folder(), folder.resolve("here").toAbsolutePath());
        assertEquals(settings.oneIn(), 7);
        assertFalse(settings.fileBytes() <= 0);
    }
}
