package sprucehold.trace.record;

import java.util.List;
import sprucehold.trace.event.Gap;

/**
 * What the writer has to do next: which file to write to, when to begin another, what to do about a
 * disk that fails. Pure: it is told what happened and says what to do.
 */
public final class RotationPolicy {
    /**
     * How long a disk that failed is left alone: one that is full is cleared by hand at best, and
     * each try costs the gatherer's core.
     */
    private static final double RETRY_MS = 30_000;

    private final long fileBytes;
    private final double fileMs;
    private boolean open;
    private double begunMs;
    private double failedMs = Double.NEGATIVE_INFINITY;
    private boolean failing;
    private long dropped;
    private long droppedFrom;
    private double droppedFromMs;
    private double droppedToMs;

    /** What to do with the entry at hand. */
    public enum Step {
        /** Write it to the file that is open. */
        WRITE,
        /** End the file that is open, if one is, begin the next, and write it there. */
        BEGIN,
        /** Count it as lost: the disk is left alone for now. */
        DROP
    }

    /**
     * Makes a policy.
     *
     * @param fileBytes a file is ended beyond so many bytes
     * @param fileMs a file is ended after so many milliseconds
     */
    public RotationPolicy(long fileBytes, double fileMs) {
        this.fileBytes = fileBytes;
        this.fileMs = fileMs;
    }

    /**
     * What to do with the next entry.
     *
     * @param nowMs the entry's time; a clock that stepped back ends no file and puts no retry off
     * @param written bytes in the file that is open
     */
    public Step next(double nowMs, long written) {
        if (failing) {
            return Math.abs(nowMs - failedMs) < RETRY_MS ? Step.DROP : Step.BEGIN;
        }
        return !open || written >= fileBytes || nowMs - begunMs >= fileMs ? Step.BEGIN : Step.WRITE;
    }

    /** A file was begun. Returns whether that ends a failure, which is to be told. */
    public boolean begun(double nowMs) {
        boolean again = failing;
        open = true;
        failing = false;
        begunMs = nowMs;
        return again;
    }

    /**
     * Writing or beginning failed. Returns whether it is a new failure, which is to be told once.
     */
    public boolean failed(double nowMs) {
        boolean first = !failing;
        failing = true;
        open = false;
        failedMs = nowMs;
        return first;
    }

    /** So many calls of the policy, from that one on, are lost. */
    public void dropped(long seq, double nowMs, long moments, double toMs) {
        if (dropped == 0) {
            droppedFrom = seq;
            droppedFromMs = nowMs;
        }
        dropped += moments;
        droppedToMs = toMs;
    }

    /** What was lost since this was last asked for, as a gap to write; null if nothing was. */
    public Gap takeGap() {
        if (dropped == 0) {
            return null;
        }
        var gap = new Gap(0, droppedFrom, droppedFromMs, dropped, droppedToMs);
        dropped = 0;
        return gap;
    }

    /**
     * Which of a gatherer's files go so that the newest {@code keep} stay.
     *
     * @param files their names, which sort by age
     */
    public static List<String> surplus(List<String> files, int keep) {
        List<String> sorted = files.stream().sorted().toList();
        return sorted.subList(0, Math.max(0, sorted.size() - keep));
    }
}
