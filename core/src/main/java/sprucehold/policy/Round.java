package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;

/** The parts of a query that are sent together. */
final class Round {
    private final List<ScheduledPart> parts = new ArrayList<>();
    private int completedInTime;
    private int cancelled;
    private boolean over;
    private boolean timerExpired;

    void add(ScheduledPart part) {
        part.join(this);
        parts.add(part);
    }

    void countCompleted() {
        completedInTime++;
    }

    void countCancelled() {
        cancelled++;
    }

    void end() {
        over = true;
    }

    void expireTimer() {
        timerExpired = true;
    }

    List<ScheduledPart> parts() {
        return parts;
    }

    /** Returns the number of parts that completed before the timer expired. */
    int completedInTime() {
        return completedInTime;
    }

    /**
     * Returns the number of parts that count for the completion estimate. Cancelled parts are
     * excluded, because it is unknown whether their attempts would have completed in time.
     */
    int countedParts() {
        return parts.size() - cancelled;
    }

    /** Returns whether the next round has begun. */
    boolean isOver() {
        return over;
    }

    boolean isTimerExpired() {
        return timerExpired;
    }

    boolean hasCompletedPart() {
        return parts.stream().anyMatch(ScheduledPart::isCompleted);
    }
}
