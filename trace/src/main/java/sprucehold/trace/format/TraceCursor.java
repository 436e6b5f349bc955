package sprucehold.trace.format;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import sprucehold.trace.event.Entry;

/**
 * Iterates over the entries of a trace file. Keeps the entries of one block in memory at a time.
 */
public final class TraceCursor {
    private static final int ALL_SOURCES = -1;

    private final TraceFile file;

    /** Blocks to read; null if the file is read frame by frame without its index. */
    private final BlockSelection blocks;

    private final int source;
    private final Queue<Entry> decodedEntries = new ArrayDeque<>();
    private final List<String> skippedBlocks = new ArrayList<>();
    private long position;
    private String stopReason;

    private TraceCursor(TraceFile file, BlockSelection blocks, int source) {
        this.file = file;
        this.blocks = blocks;
        this.source = source;
        this.position = file.firstFrame();
    }

    /** Returns a cursor that reads the selected blocks. */
    static TraceCursor of(TraceFile file, BlockSelection blocks) {
        return new TraceCursor(file, blocks, ALL_SOURCES);
    }

    /** Returns a cursor that reads the file frame by frame and ignores the indexes. */
    static TraceCursor withoutIndex(TraceFile file) {
        return new TraceCursor(file, null, ALL_SOURCES);
    }

    /** Returns a cursor over the entries of one source; it keeps no entries of other sources. */
    TraceCursor ofSource(int sourceIndex) {
        return new TraceCursor(file, blocks, sourceIndex);
    }

    /**
     * Returns the next entry, or null at the end.
     *
     * <p>Without an index, a damaged block is skipped if a valid frame follows it. Otherwise the
     * cursor ends there, and {@link #stopReason()} returns the fault.
     *
     * @throws MalformedTraceException if an indexed block is damaged
     */
    public Entry next() throws IOException {
        while (decodedEntries.isEmpty()) {
            boolean found = blocks == null ? nextFrame() : nextBlock();
            if (!found) {
                return null;
            }
        }
        return decodedEntries.poll();
    }

    private boolean nextBlock() throws IOException {
        long block = blocks.next();
        if (block == BlockSelection.NONE) {
            return false;
        }
        Frame frame = file.frame(block, file.length());
        if (frame.kind() != Layout.BLOCK) {
            throw file.malformed(block, "the index lists a block at a position without one");
        }
        add(file.entries(frame, block));
        return true;
    }

    private void add(List<Entry> entries) {
        for (Entry entry : entries) {
            if (source == ALL_SOURCES || entry.source() == source) {
                decodedEntries.add(entry);
            }
        }
    }

    private boolean nextFrame() {
        if (stopReason != null) {
            return false;
        }
        try {
            Frame frame = file.frame(position, file.length());
            if (frame.kind() == Layout.BLOCK) {
                add(file.entries(frame, position));
            } else {
                file.content(frame, position);
            }
            position += frame.length();
            return true;
        } catch (IOException e) {
            return skipDamaged(e);
        }
    }

    private boolean skipDamaged(IOException damage) {
        long next = positionAfterDamaged();
        if (next < 0) {
            stopReason = TraceFile.firstLine(damage);
            return false;
        }
        skippedBlocks.add(TraceFile.firstLine(damage));
        position = next;
        return true;
    }

    /**
     * Returns the position after a damaged frame, according to the length in its header, if a valid
     * frame begins there; otherwise returns -1.
     */
    private long positionAfterDamaged() {
        try {
            long next = position + file.frame(position, file.length()).length();
            file.content(file.frame(next, file.length()), next);
            return next;
        } catch (IOException e) {
            return -1;
        }
    }

    /** Returns a description of the fault for each damaged block that was skipped. */
    public List<String> skippedBlocks() {
        return List.copyOf(skippedBlocks);
    }

    /** Returns the fault that ended reading without an index; null if there is none. */
    public String stopReason() {
        return stopReason;
    }

    /** Returns the position up to which the file was read without an index, in bytes. */
    public long readUpTo() {
        return position;
    }
}
