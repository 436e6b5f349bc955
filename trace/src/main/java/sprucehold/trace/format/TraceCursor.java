package sprucehold.trace.format;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import sprucehold.trace.event.Entry;

/** Entries of a trace file one after the other, in memory for one block. */
public final class TraceCursor {
    private static final int EVERY_SOURCE = -1;

    private final TraceFile file;

    /** Null where the file is read frame by frame for want of an index. */
    private final BlockSelection blocks;

    private final int source;
    private final Queue<Entry> ready = new ArrayDeque<>();
    private final List<String> skipped = new ArrayList<>();
    private long at;
    private String endedBy;

    private TraceCursor(TraceFile file, BlockSelection blocks, int source) {
        this.file = file;
        this.blocks = blocks;
        this.source = source;
        this.at = file.firstFrame();
    }

    /** Reads the selected blocks. */
    static TraceCursor of(TraceFile file, BlockSelection blocks) {
        return new TraceCursor(file, blocks, EVERY_SOURCE);
    }

    /** Reads frame by frame, whatever an index says. */
    static TraceCursor withoutIndex(TraceFile file) {
        return new TraceCursor(file, null, EVERY_SOURCE);
    }

    /** The same, with the entries of one source only; those of others take no memory. */
    TraceCursor onlyOf(int index) {
        return new TraceCursor(file, blocks, index);
    }

    /**
     * The next entry, or null at the end.
     *
     * @throws MalformedTraceException where an indexed block is damaged; without an index, the
     *     first damaged block is the end, and {@link #endedBy()} says so
     */
    public Entry next() throws IOException {
        while (ready.isEmpty()) {
            boolean more = blocks == null ? nextFrame() : nextBlock();
            if (!more) {
                return null;
            }
        }
        return ready.poll();
    }

    private boolean nextBlock() throws IOException {
        long block = blocks.next();
        if (block == BlockSelection.NONE) {
            return false;
        }
        Frame frame = file.frame(block, file.length());
        if (frame.kind() != Layout.BLOCK) {
            throw file.malformed(block, "the index tells of a block where there is none");
        }
        add(file.entries(frame, block));
        return true;
    }

    private void add(List<Entry> entries) {
        for (Entry entry : entries) {
            if (source == EVERY_SOURCE || entry.source() == source) {
                ready.add(entry);
            }
        }
    }

    private boolean nextFrame() {
        if (endedBy != null) {
            return false;
        }
        try {
            Frame frame = file.frame(at, file.length());
            if (frame.kind() == Layout.BLOCK) {
                add(file.entries(frame, at));
            } else {
                file.content(frame, at);
            }
            at += frame.length();
            return true;
        } catch (IOException e) {
            return skipDamaged(e);
        }
    }

    private boolean skipDamaged(IOException damage) {
        long next = nextSound();
        if (next < 0) {
            endedBy = TraceFile.firstLine(damage);
            return false;
        }
        skipped.add(TraceFile.firstLine(damage));
        at = next;
        return true;
    }

    /**
     * Where a sound frame begins right behind a damaged one whose length can be believed; -1 if
     * none does.
     */
    private long nextSound() {
        try {
            long next = at + file.frame(at, file.length()).length();
            file.content(file.frame(next, file.length()), next);
            return next;
        } catch (IOException e) {
            return -1;
        }
    }

    /** What was wrong with each damaged block that was skipped. */
    public List<String> skipped() {
        return List.copyOf(skipped);
    }

    /** Why a file without an index was read no further; null as long as it is. */
    public String endedBy() {
        return endedBy;
    }

    /** How far a file without an index was read, in bytes. */
    public long readTo() {
        return at;
    }
}
