package sprucehold.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Which calls follow the endpoint list, as a state machine (long polling). Pure: told the time and
 * how calls ended, it says what to do.
 *
 * <p>A call waits for news at all times: a discovery that was silent and comes back answers it at
 * once, and what it tells then counts as told at once, too. But a call that has fallen silent for
 * good looks just like one that waits. So where the list is pushed to an agent nearby, which
 * answers at no cost, calls wait for a short time only. One without an answer by then stays open,
 * and another is made beside it. Where the list is asked for, each call costs discovery: there
 * calls wait long, and one without an answer by then has failed.
 */
final class EndpointWatchPlan {
    /** How long a call may be kept where each costs discovery. */
    static final int POLLED_WAIT_MS = 20_000;

    /**
     * How long the agent may keep a call. What a silent call misses counts as told six seconds
     * after it fell silent: this and the way leave half of that.
     */
    static final int PUSHED_WAIT_MS = 2000;

    /** As short as a call may wait: it tells what is there. */
    private static final int SHORTEST_WAIT_MS = 1;

    /** An answer on the way may take this long more. */
    static final int TRANSIT_MS = 1000;

    /** How long a call to the agent is left open; longer than it takes to be replaced twice. */
    private static final int KEPT_OPEN_MS = 20_000;

    /** Well inside the 200 ms after which a watch is over. */
    private static final int RETRY_PAUSE_MS = 50;

    /**
     * A call for the list.
     *
     * @param number tells it from all others
     * @param after the version after which news is asked for; below 0 for the whole list
     * @param waitMs how long discovery may keep it, in milliseconds
     * @param timeoutMs when it has failed for want of an answer, in milliseconds from its begin
     * @param madeAtMs its begin
     */
    record Call(long number, long after, int waitMs, int timeoutMs, double madeAtMs) {
        /** When it should have been answered. */
        double dueAtMs() {
            return madeAtMs + waitMs + (after < 0 ? 2 * TRANSIT_MS : TRANSIT_MS);
        }
    }

    /** What has to be done, in this order. */
    sealed interface Step {
        /** Makes a call. */
        record MakeCall(Call call) implements Step {}

        /** Forgets a call and closes its connection. */
        record DropCall(long number) implements Step {}

        /** Reports what came. */
        record Report(EndpointList list) implements Step {}

        /**
         * Reports that the list is unavailable, and why; whoever is told says when to poll again.
         */
        record ReportUnavailable(String why) implements Step {}

        /** Logs a line; {@code warning} if something is wrong, and not only over. */
        record LogLine(boolean warning, String text) implements Step {}
    }

    private final boolean pushed;
    private final double fallbackMs;
    private long callsMade;
    private long index = -1;

    /** The call made last, while it has no answer. */
    private Call newest;

    /** The one before it, without an answer when that was due; it may still be answered. */
    private Call overdue;

    /** When the next call is due of itself, while there is none. */
    private double nextCallAtMs = Double.POSITIVE_INFINITY;

    /** Whether the list could not be followed since it was last told. */
    private boolean unavailable;

    private List<Step> steps = new ArrayList<>();

    /**
     * @param pushed whether the list is pushed to an agent nearby, which answers at no cost
     * @param fallbackMs where each call costs discovery: after a failure nobody asked about, when
     *     to ask all the same
     */
    EndpointWatchPlan(boolean pushed, double fallbackMs) {
        this.pushed = pushed;
        this.fallbackMs = fallbackMs;
    }

    /** Calls now unless a call is under way. */
    List<Step> ask(double nowMs) {
        if (newest == null) {
            makeCall(nowMs);
        }
        return takeSteps();
    }

    /** Discovery is elsewhere now, and versions of the two need not go together. */
    List<Step> moved(double nowMs) {
        dropCalls();
        index = -1;
        makeCall(nowMs);
        return takeSteps();
    }

    private void dropCalls() {
        dropOverdue();
        if (newest != null) {
            steps.add(new Step.DropCall(newest.number));
            newest = null;
        }
    }

    private void dropOverdue() {
        if (overdue != null) {
            steps.add(new Step.DropCall(overdue.number));
            overdue = null;
        }
    }

    private void makeCall(double nowMs) {
        nextCallAtMs = Double.POSITIVE_INFINITY;
        int waitMs = waitMs();
        int transits = index < 0 || unavailable ? 2 : 1;
        newest =
                new Call(
                        ++callsMade,
                        index,
                        waitMs,
                        pushed ? KEPT_OPEN_MS : waitMs + transits * TRANSIT_MS,
                        nowMs);
        steps.add(new Step.MakeCall(newest));
    }

    /** How long discovery may keep the next call. */
    private int waitMs() {
        if (index < 0) {
            return 0;
        }
        if (pushed) {
            return PUSHED_WAIT_MS;
        }
        return unavailable ? SHORTEST_WAIT_MS : POLLED_WAIT_MS;
    }

    /** A call was answered. */
    List<Step> answered(double nowMs, long number, EndpointList list) {
        boolean ofNewest = newest != null && number == newest.number;
        if (!ofNewest && (overdue == null || number != overdue.number)) {
            return List.of();
        }
        if (list.index() < index) {
            // Whatever it is that discovery tells from now on, it isn't a change to the list that
            // is held.
            newest = ofNewest ? null : newest;
            overdue = ofNewest ? overdue : null;
            dropCalls();
            index = -1;
            fail(nowMs, "its index went back");
            return takeSteps();
        }
        boolean newer = list.index() > index || (ofNewest && !list.servers().isEmpty());
        index = list.index();
        if (unavailable) {
            unavailable = false;
            steps.add(new Step.LogLine(false, "endpoint list followed again: index " + index));
        }
        if (newer) {
            steps.add(new Step.Report(list));
        }
        if (!ofNewest) {
            overdue = null;
            return takeSteps();
        }
        dropOverdue();
        if (!newer && nowMs - newest.madeAtMs < RETRY_PAUSE_MS) {
            newest = null;
            nextCallAtMs = nowMs + RETRY_PAUSE_MS;
        } else {
            makeCall(nowMs);
        }
        return takeSteps();
    }

    /** A call failed, or had no answer in its time. */
    List<Step> failed(double nowMs, long number, String why) {
        if (newest != null && number == newest.number) {
            newest = null;
            fail(nowMs, why);
        } else if (overdue != null && number == overdue.number) {
            overdue = null;
        }
        return takeSteps();
    }

    private double retryAfterMs() {
        if (!pushed) {
            return fallbackMs;
        }
        return unavailable ? TRANSIT_MS : RETRY_PAUSE_MS;
    }

    private void fail(double nowMs, String why) {
        // Within 200 ms the watch goes on as if nothing had been. Only once, and not where a call
        // costs discovery.
        nextCallAtMs = nowMs + retryAfterMs();
        markUnavailable(why);
        steps.add(new Step.ReportUnavailable(why));
    }

    private void markUnavailable(String why) {
        if (!unavailable) {
            unavailable = true;
            steps.add(
                    new Step.LogLine(
                            true, "endpoint list unavailable, the last one is kept: " + why));
        }
    }

    /** The time of {@link #timerAtMs} has come. */
    List<Step> timerFired(double nowMs) {
        if (newest == null && nowMs >= nextCallAtMs) {
            makeCall(nowMs);
        } else if (pushed && newest != null && nowMs >= newest.dueAtMs()) {
            dropOverdue();
            overdue = newest;
            if (!unavailable) {
                markUnavailable("a call is without an answer, and another is made beside it");
                steps.add(new Step.ReportUnavailable("no answer"));
            }
            makeCall(nowMs);
        }
        return takeSteps();
    }

    /** When to call {@link #timerFired}, however often it is told otherwise; infinite if never. */
    double timerAtMs() {
        if (newest == null) {
            return nextCallAtMs;
        }
        return pushed ? newest.dueAtMs() : Double.POSITIVE_INFINITY;
    }

    private List<Step> takeSteps() {
        List<Step> taken = steps;
        steps = new ArrayList<>();
        return taken;
    }
}
