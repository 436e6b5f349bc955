package sprucehold.trace.record;

import java.util.List;
import sprucehold.trace.event.Gap;

/**
 * Decides when the writer begins a new file, and when it retries after a failure of the disk. Does
 * no I/O itself: the writer reports what happened and asks for the next step.
 */
public final class RotationPolicy {
    /**
     * Time between a failure and the next attempt to begin a file, in milliseconds. A full disk is
     * at best cleared by hand, and each attempt takes time on the gatherer's core.
     */
    private static final double RETRY_MS = 30_000;

    private final long fileBytes;
    private final double fileMs;
    private boolean open;
    private double fileBegunMs;
    private double failedMs = Double.NEGATIVE_INFINITY;
    private boolean failing;
    private long droppedCalls;
    private long droppedFromSeq;
    private double droppedFromMs;
    private double droppedToMs;

    /** The step for the next entry. */
    public enum Step {
        /** Write the entry to the open file. */
        WRITE,
        /** End the open file, if there is one, begin the next file and write the entry to it. */
        BEGIN,
        /** Count the entry as lost, because the delay after a failure has not passed. */
        DROP
    }

    /**
     * Creates a policy.
     *
     * @param fileBytes the size at which a file is ended, in bytes after its header
     * @param fileMs the age at which a file is ended, in milliseconds
     */
    public RotationPolicy(long fileBytes, double fileMs) {
        this.fileBytes = fileBytes;
        this.fileMs = fileMs;
    }

    /**
     * Returns the step for the next entry.
     *
     * @param nowMs the time of the entry. A clock that stepped back neither ends a file nor delays
     *     a retry.
     * @param writtenBytes the number of bytes written to the open file after its header
     */
    public Step next(double nowMs, long writtenBytes) {
        if (failing) {
            return Math.abs(nowMs - failedMs) < RETRY_MS ? Step.DROP : Step.BEGIN;
        }
        return !open || writtenBytes >= fileBytes || nowMs - fileBegunMs >= fileMs
                ? Step.BEGIN
                : Step.WRITE;
    }

    /** Records that a file was begun. Returns whether this ends a failure, which must be logged. */
    public boolean fileBegun(double nowMs) {
        boolean recovered = failing;
        open = true;
        failing = false;
        fileBegunMs = nowMs;
        return recovered;
    }

    /**
     * Records that writing or beginning a file failed. Returns whether this is the first failure
     * since a file was last begun; only the first one must be logged.
     */
    public boolean writeFailed(double nowMs) {
        boolean newFailure = !failing;
        failing = true;
        open = false;
        failedMs = nowMs;
        return newFailure;
    }

    /**
     * Records that policy calls are lost.
     *
     * @param seq the number of the first lost call
     * @param nowMs the time of the first lost call
     * @param calls the number of lost calls
     * @param toMs the time of the last lost call
     */
    public void dropped(long seq, double nowMs, long calls, double toMs) {
        if (droppedCalls == 0) {
            droppedFromSeq = seq;
            droppedFromMs = nowMs;
        }
        droppedCalls += calls;
        droppedToMs = toMs;
    }

    /** Returns the calls lost since the last gap was taken, as a gap; null if none were lost. */
    public Gap takeGap() {
        if (droppedCalls == 0) {
            return null;
        }
        var gap = new Gap(0, droppedFromSeq, droppedFromMs, droppedCalls, droppedToMs);
        droppedCalls = 0;
        return gap;
    }

    /**
     * Returns the files of a gatherer to delete so that the newest {@code keep} files remain.
     *
     * @param files the names of all files; their order by name is their order by age
     */
    public static List<String> surplus(List<String> files, int keep) {
        List<String> sorted = files.stream().sorted().toList();
        return sorted.subList(0, Math.max(0, sorted.size() - keep));
    }
}
