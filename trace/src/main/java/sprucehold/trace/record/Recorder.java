package sprucehold.trace.record;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceWriter;

/**
 * Records the calls of one gatherer's policy and writes them to trace files on a separate thread.
 * {@link #record} is called by the event loop. It neither blocks nor fails: when the writer has
 * fallen behind, it counts the calls that are lost.
 */
public final class Recorder implements Closeable {
    private static final Logger LOG = Logger.getLogger(Recorder.class.getName());

    /** Suffix of file names. The newest file of a gatherer has the greatest name. */
    public static final String SUFFIX = ".trace";

    /**
     * Time between flushes of the open block, in milliseconds. A gatherer that is killed loses only
     * about the last second of its recording.
     */
    private static final long FLUSH_INTERVAL_MS = 1000;

    /**
     * Longest time that {@link #close} waits for the writer thread, in milliseconds. It limits how
     * long a slow disk can delay the end of the process.
     */
    private static final long CLOSE_TIMEOUT_MS = 2000;

    private final RecordingSettings settings;
    private final Source sourceTemplate;
    private final FileOpener fileOpener;
    private final ArrayBlockingQueue<Entry> queue;
    private final AtomicInteger queuedRecords = new AtomicInteger();
    private final Thread thread;
    private volatile boolean closing;

    /** Number of entries added to the queue. */
    private final AtomicLong queuedEntries = new AtomicLong();

    /** Number of entries that the writer thread has processed. */
    private final AtomicLong processedEntries = new AtomicLong();

    // Used only by the event loop, except that the writer thread reads startedMs.
    private long seq;
    private boolean started;
    private volatile double startedMs;
    private long lostCalls;
    private long lostFromSeq;
    private double lostFromMs;
    private double lostToMs;

    // Used only by the writer thread.
    private final RotationPolicy rotation;
    private final QuerySampler sampler;
    private TraceWriter writer;
    private OutputStream stream;

    /** Entries of the open block; they are counted as lost if the block can't be written. */
    private final List<Entry> openBlockEntries = new ArrayList<>();

    private double latestMs;
    private long headerBytes;

    /** Opens files for writing. Tests use implementations that fail or are slow. */
    public interface FileOpener {
        /** Creates a file and opens it for writing. */
        OutputStream open(Path file) throws IOException;
    }

    /**
     * Creates a recorder and starts its thread.
     *
     * @param settings the settings of the recording
     * @param source the source of the policy calls; its start time is replaced by the time of the
     *     first call
     */
    public Recorder(RecordingSettings settings, Source source) {
        this(
                settings,
                source,
                file ->
                        Files.newOutputStream(
                                file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    // The writer thread has the lowest priority because it shares the gatherer's only core.
    // Correctness does not depend on the priority.
    @SuppressWarnings("ThreadPriorityCheck")
    Recorder(RecordingSettings settings, Source source, FileOpener fileOpener) {
        this.settings = settings;
        this.sourceTemplate = source;
        this.fileOpener = fileOpener;
        this.queue = new ArrayBlockingQueue<>(Math.max(16, settings.waitingRecords() / 2));
        this.rotation = new RotationPolicy(settings.fileBytes(), settings.fileMs());
        this.sampler = settings.oneIn() > 1 ? new QuerySampler(settings.oneIn()) : null;
        this.thread = new Thread(this::run, "recorder");
        thread.setDaemon(true);
        thread.setPriority(Thread.MIN_PRIORITY);
        thread.start();
        LOG.info(
                "recording to "
                        + settings.folder()
                        + (settings.oneIn() > 1
                                ? ", sampling one in "
                                        + settings.oneIn()
                                        + " of the queries that end well and in time"
                                : ""));
    }

    /** Records one call of the policy. */
    void record(double nowMs, List<Event> events, List<Command> commands, boolean policyFailed) {
        if (!started) {
            started = true;
            startedMs = nowMs;
        }
        long callSeq = seq++;
        int records = events.size() + commands.size();
        // The call needs two free places in the queue: one for a gap before it and one for itself.
        // Only this thread adds to the queue, so the number of free places can't decrease here.
        if (queuedRecords.get() + records > settings.waitingRecords()
                || queue.remainingCapacity() < 2) {
            if (lostCalls++ == 0) {
                lostFromSeq = callSeq;
                lostFromMs = nowMs;
            }
            lostToMs = nowMs;
            return;
        }
        if (lostCalls > 0) {
            queuedEntries.incrementAndGet();
            queue.add(new Gap(0, lostFromSeq, lostFromMs, lostCalls, lostToMs));
            lostCalls = 0;
        }
        queuedRecords.addAndGet(records);
        queuedEntries.incrementAndGet();
        queue.add(PolicyCall.of(0, callSeq, nowMs, events, commands, policyFailed));
    }

    /** Returns whether the writer thread has processed all entries of the queue. */
    boolean idle() {
        return processedEntries.get() == queuedEntries.get();
    }

    private void run() {
        long flushedAt = System.nanoTime();
        try {
            while (!closing || !queue.isEmpty()) {
                Entry entry = queue.poll(FLUSH_INTERVAL_MS / 4, TimeUnit.MILLISECONDS);
                if (entry != null) {
                    if (entry instanceof PolicyCall call) {
                        queuedRecords.addAndGet(-call.items().size());
                    }
                    for (Entry kept : sampler == null ? List.of(entry) : sampler.add(entry)) {
                        write(kept);
                    }
                    processedEntries.incrementAndGet();
                }
                if (writer != null
                        && System.nanoTime() - flushedAt > FLUSH_INTERVAL_MS * 1_000_000) {
                    flushedAt = System.nanoTime();
                    flush();
                }
            }
            for (Entry kept : sampler == null ? List.<Entry>of() : sampler.finish()) {
                write(kept);
            }
            endFile();
        } catch (InterruptedException e) {
            abandonFile();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: recording stopped", e);
            abandonFile();
        }
    }

    private void write(Entry entry) {
        latestMs = entry.nowMs();
        RotationPolicy.Step step =
                rotation.next(entry.nowMs(), writer == null ? 0 : writer.position() - headerBytes);
        if (step == RotationPolicy.Step.DROP) {
            countDropped(entry);
            return;
        }
        try {
            if (step == RotationPolicy.Step.BEGIN) {
                beginFile(entry);
            }
            Gap gap = rotation.takeGap();
            if (gap != null) {
                writer.add(gap);
            }
            openBlockEntries.add(entry);
            writer.add(entry);
            if (writer.entriesInBlock() == 0) {
                openBlockEntries.clear();
            }
        } catch (IOException e) {
            boolean inOpenBlock = openBlockEntries.contains(entry);
            handleFailure(e);
            if (!inOpenBlock) {
                countDropped(entry);
            }
        }
    }

    private void countDropped(Entry entry) {
        if (entry instanceof Gap gap) {
            rotation.dropped(gap.seq(), gap.nowMs(), gap.calls(), gap.toMs());
        } else {
            rotation.dropped(entry.seq(), entry.nowMs(), 1, entry.nowMs());
        }
    }

    private void beginFile(Entry first) throws IOException {
        if (writer != null) {
            writer.close();
            openBlockEntries.clear();
            writer = null;
        }
        var source =
                new Source(
                        sourceTemplate.gatherer(),
                        sourceTemplate.build(),
                        sourceTemplate.seed(),
                        startedMs,
                        sourceTemplate.deployment(),
                        sourceTemplate.clock());
        String name = "%s-%013.0f-%012d%s".formatted(prefix(), startedMs, first.seq(), SUFFIX);
        Path file = settings.folder().resolve(name);
        OutputStream out = new BufferedOutputStream(fileOpener.open(file), 1 << 14);
        try {
            writer = new TraceWriter(out, TraceHeader.of(source).withOneIn(settings.oneIn()));
        } catch (IOException e) {
            closeQuietly(out);
            throw e;
        }
        stream = out;
        // The header of a large deployment may exceed the size limit of files. Only the bytes after
        // the header count towards the limit, as otherwise every call would begin a new file.
        headerBytes = writer.position();
        if (rotation.fileBegun(first.nowMs())) {
            LOG.info("recording resumed, to " + file);
        }
        removeSurplus();
    }

    private String prefix() {
        return sourceTemplate.gatherer().replaceAll("[^A-Za-z0-9_-]", "_");
    }

    private void removeSurplus() throws IOException {
        var names = new ArrayList<String>();
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(settings.folder(), prefix() + "-*" + SUFFIX)) {
            files.forEach(path -> names.add(path.getFileName().toString()));
        }
        for (String surplus : RotationPolicy.surplus(names, settings.keepFiles())) {
            Files.deleteIfExists(settings.folder().resolve(surplus));
        }
    }

    private void flush() {
        try {
            writer.flush();
            openBlockEntries.clear();
        } catch (IOException e) {
            handleFailure(e);
        }
    }

    private void handleFailure(IOException e) {
        abandonFile();
        openBlockEntries.forEach(this::countDropped);
        openBlockEntries.clear();
        if (rotation.writeFailed(latestMs)) {
            LOG.warning("recording failed, retrying every 30 s: " + e);
        }
    }

    private void endFile() {
        if (writer != null) {
            try {
                writer.close();
            } catch (IOException e) {
                LOG.warning("the last file of the recording has no index, closing it failed: " + e);
            }
        }
    }

    private void abandonFile() {
        if (writer != null) {
            writer.discard();
            closeQuietly(stream);
            writer = null;
        }
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "can't close a file after a failure", e);
        }
    }

    /** Ends the last file. Gives up if the writer thread has not finished within the time limit. */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(CLOSE_TIMEOUT_MS);
            if (thread.isAlive()) {
                LOG.warning(
                        "recording did not finish within "
                                + CLOSE_TIMEOUT_MS
                                + " ms; its last file has no index");
                thread.interrupt();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
