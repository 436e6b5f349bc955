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
 * Takes what one gatherer's policy is told and decides, and writes it on a thread of its own.
 * {@link #record} belongs to the event loop: it neither waits nor fails, and where the writer has
 * fallen behind it counts what is lost.
 */
public final class Recorder implements Closeable {
    private static final Logger LOG = Logger.getLogger(Recorder.class.getName());

    /** Files end in this; the newest of a gatherer has the greatest name. */
    public static final String SUFFIX = ".trace";

    /**
     * Written to the disk so often at least, so that a killed gatherer leaves all but its last
     * second.
     */
    private static final long FLUSH_MS = 1000;

    /** The end of a process waits so long for the disk, and no longer. */
    private static final long END_MS = 2000;

    private final RecordingSettings plan;
    private final Source unbegun;
    private final OpenFile openFile;
    private final ArrayBlockingQueue<Entry> queue;
    private final AtomicInteger waiting = new AtomicInteger();
    private final Thread thread;
    private volatile boolean closing;

    /** Entries handed to the writer, and those that it is done with. */
    private final AtomicLong handedOver = new AtomicLong();

    private final AtomicLong done = new AtomicLong();

    // Of the event loop alone.
    private long seq;
    private boolean began;
    private volatile double startedMs;
    private long lost;
    private long lostFrom;
    private double lostFromMs;
    private double lostToMs;

    // Of the writer's thread alone.
    private final RotationPolicy duty;
    private final QuerySampler thinning;
    private TraceWriter writer;
    private OutputStream stream;

    /** Entries of the open block: should it not reach the disk, they are lost. */
    private final List<Entry> inBlock = new ArrayList<>();

    private double latestMs;
    private long headBytes;

    /** Opens files to write to; a test's may fail or be slow. */
    public interface OpenFile {
        /** Opens a new file. */
        OutputStream open(Path file) throws IOException;
    }

    /**
     * Makes a recorder and starts its thread.
     *
     * @param source whose policy calls these are; its start is the time of the first of them
     */
    public Recorder(RecordingSettings plan, Source source) {
        this(
                plan,
                source,
                file ->
                        Files.newOutputStream(
                                file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
    }

    // The lowest priority, as the thread shares its gatherer's one core; nothing rests on it.
    @SuppressWarnings("ThreadPriorityCheck")
    Recorder(RecordingSettings plan, Source source, OpenFile openFile) {
        this.plan = plan;
        this.unbegun = source;
        this.openFile = openFile;
        this.queue = new ArrayBlockingQueue<>(Math.max(16, plan.waitingRecords() / 2));
        this.duty = new RotationPolicy(plan.fileBytes(), plan.fileMs());
        this.thinning = plan.oneIn() > 1 ? new QuerySampler(plan.oneIn()) : null;
        this.thread = new Thread(this::run, "recorder");
        thread.setDaemon(true);
        thread.setPriority(Thread.MIN_PRIORITY);
        thread.start();
        LOG.info(
                "recording to "
                        + plan.folder()
                        + (plan.oneIn() > 1
                                ? ", one in " + plan.oneIn() + " of the queries that end well"
                                : ""));
    }

    /** Takes one call of the policy. */
    void record(double nowMs, List<Event> events, List<Command> actions, boolean failed) {
        if (!began) {
            began = true;
            startedMs = nowMs;
        }
        long number = seq++;
        int records = events.size() + actions.size();
        // Two places: for the gap before it, and for itself. Nobody else adds, so there can only be
        // more by then.
        if (waiting.get() + records > plan.waitingRecords() || queue.remainingCapacity() < 2) {
            if (lost++ == 0) {
                lostFrom = number;
                lostFromMs = nowMs;
            }
            lostToMs = nowMs;
            return;
        }
        if (lost > 0) {
            handedOver.incrementAndGet();
            queue.add(new Gap(0, lostFrom, lostFromMs, lost, lostToMs));
            lost = 0;
        }
        waiting.addAndGet(records);
        handedOver.incrementAndGet();
        queue.add(PolicyCall.of(0, number, nowMs, events, actions, failed));
    }

    /** Whether all that was taken has been dealt with. */
    boolean idle() {
        return done.get() == handedOver.get();
    }

    private void run() {
        long flushedAt = System.nanoTime();
        try {
            while (!closing || !queue.isEmpty()) {
                Entry entry = queue.poll(FLUSH_MS / 4, TimeUnit.MILLISECONDS);
                if (entry != null) {
                    if (entry instanceof PolicyCall call) {
                        waiting.addAndGet(-call.items().size());
                    }
                    for (Entry kept : thinning == null ? List.of(entry) : thinning.add(entry)) {
                        write(kept);
                    }
                    done.incrementAndGet();
                }
                if (writer != null && System.nanoTime() - flushedAt > FLUSH_MS * 1_000_000) {
                    flushedAt = System.nanoTime();
                    flush();
                }
            }
            for (Entry kept : thinning == null ? List.<Entry>of() : thinning.end()) {
                write(kept);
            }
            endFile();
        } catch (InterruptedException e) {
            abandonFile();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: recording has ended", e);
            abandonFile();
        }
    }

    private void write(Entry entry) {
        latestMs = entry.nowMs();
        RotationPolicy.Step step =
                duty.next(entry.nowMs(), writer == null ? 0 : writer.position() - headBytes);
        if (step == RotationPolicy.Step.DROP) {
            drop(entry);
            return;
        }
        try {
            if (step == RotationPolicy.Step.BEGIN) {
                begin(entry);
            }
            Gap gap = duty.takeGap();
            if (gap != null) {
                writer.add(gap);
            }
            inBlock.add(entry);
            writer.add(entry);
            if (writer.inBlock() == 0) {
                inBlock.clear();
            }
        } catch (IOException e) {
            boolean counted = inBlock.contains(entry);
            failed(e);
            if (!counted) {
                drop(entry);
            }
        }
    }

    private void drop(Entry entry) {
        if (entry instanceof Gap gap) {
            duty.dropped(gap.seq(), gap.nowMs(), gap.calls(), gap.toMs());
        } else {
            duty.dropped(entry.seq(), entry.nowMs(), 1, entry.nowMs());
        }
    }

    private void begin(Entry first) throws IOException {
        if (writer != null) {
            writer.close();
            inBlock.clear();
            writer = null;
        }
        var source =
                new Source(
                        unbegun.gatherer(),
                        unbegun.build(),
                        unbegun.seed(),
                        startedMs,
                        unbegun.deployment(),
                        unbegun.clock());
        String name = "%s-%013.0f-%012d%s".formatted(prefix(), startedMs, first.seq(), SUFFIX);
        Path file = plan.folder().resolve(name);
        OutputStream out = new BufferedOutputStream(openFile.open(file), 1 << 14);
        try {
            writer = new TraceWriter(out, TraceHeader.of(source).withOneIn(plan.oneIn()));
        } catch (IOException e) {
            closeQuietly(out);
            throw e;
        }
        stream = out;
        // The head of a large deployment may be larger than a file is to be: only what comes after
        // it counts.
        headBytes = writer.position();
        if (duty.begun(first.nowMs())) {
            LOG.info("recording again, to " + file);
        }
        removeSurplus();
    }

    private String prefix() {
        return unbegun.gatherer().replaceAll("[^A-Za-z0-9_-]", "_");
    }

    private void removeSurplus() throws IOException {
        var names = new ArrayList<String>();
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(plan.folder(), prefix() + "-*" + SUFFIX)) {
            files.forEach(path -> names.add(path.getFileName().toString()));
        }
        for (String surplus : RotationPolicy.surplus(names, plan.keepFiles())) {
            Files.deleteIfExists(plan.folder().resolve(surplus));
        }
    }

    private void flush() {
        try {
            writer.flush();
            inBlock.clear();
        } catch (IOException e) {
            failed(e);
        }
    }

    private void failed(IOException e) {
        abandonFile();
        inBlock.forEach(this::drop);
        inBlock.clear();
        if (duty.failed(latestMs)) {
            LOG.warning("recording has stopped and is tried again every half a minute: " + e);
        }
    }

    private void endFile() {
        if (writer != null) {
            try {
                writer.close();
            } catch (IOException e) {
                LOG.warning("the last file of the recording has no index: " + e);
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

    private static void closeQuietly(Closeable what) {
        try {
            what.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "a file that failed", e);
        }
    }

    /** Ends the last file; waits a short while for the disk and gives up on it then. */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(END_MS);
            if (thread.isAlive()) {
                LOG.warning(
                        "recording has not ended in " + END_MS + " ms; its last file has no index");
                thread.interrupt();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
