package sprucehold.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * State machine that follows the endpoint list by long polling. It does no I/O: its methods take
 * the time and the results of calls, and return the steps to carry out.
 *
 * <p>One call is kept open whenever possible. When discovery is reachable again after an outage, it
 * answers the open call at once. The gatherer counts as notified of the changes in that response
 * from that moment on, so without an open call it would act on them too late: it could still send
 * attempts to a shard server whose drain grace period has ended.
 *
 * <p>A call whose connection was lost without a reset can't be distinguished from a call that waits
 * for a change. The gatherer counts as notified of the changes that such a call misses six seconds
 * after the loss or, if that is later, two seconds after the end of the call's wait. Therefore:
 *
 * <ul>
 *   <li>A call that may wait for long is made on a new connection, and so is each call after a
 *       failed or overdue one. Only a call with a short wait that directly follows a response uses
 *       the connection of that response.
 *   <li>An overdue call stays open, since its response may only be slow, and another call is made
 *       in parallel. The first response counts.
 * </ul>
 *
 * <p>The waits and the delays depend on the way the list is obtained. If it is pushed to an agent
 * nearby, calls put no load on discovery: they wait for a short time, and a call stays open during
 * an outage. If the list is polled, calls wait for a long time, and while there is no response, the
 * decision policy determines when the next one is made.
 */
final class EndpointWatchStateMachine {
    /** Longest time that discovery may keep a call open if the list is polled, in milliseconds. */
    static final int POLLED_WAIT_MS = 20_000;

    /**
     * Longest time that the agent of a pushed list, or a polled discovery on a connection that was
     * used before, may keep a call open, in milliseconds. This time and {@link #TRANSIT_MS}
     * together are three of the six seconds after which the gatherer counts as notified of what the
     * call missed, so that another call can still deliver it in time.
     */
    static final int SHORT_WAIT_MS = 2000;

    /** Shortest wait of a call, in milliseconds; its response contains the changes so far. */
    private static final int SHORTEST_WAIT_MS = 1;

    /**
     * Time that a response may take on the network beyond the wait of its call, in milliseconds.
     */
    static final int TRANSIT_MS = 1000;

    /**
     * The same for a call of a polled list for later versions while others replace silent ones at
     * once, in milliseconds. Two seconds after the end of the call's wait the gatherer counts as
     * notified; most of that time is left to the calls that are made in parallel.
     */
    private static final int POLLED_TRANSIT_MS = 250;

    /**
     * Longest interval between parallel calls to the agent, as a multiple of {@link #TRANSIT_MS}.
     */
    private static final int MAX_PUSHED_INTERVAL_TRANSITS = 3;

    /** Most calls that are open at once if the list is pushed; each lives for two intervals. */
    private static final int MAX_OPEN_PUSHED = 2;

    /**
     * Most calls that are open at once if the list is polled. The first intervals between them are
     * short, and a slow response has to find its call still open.
     */
    private static final int MAX_OPEN_POLLED = 4;

    /**
     * Calls to a polled discovery that replace silent ones at once, until there is a response. A
     * connection may fall silent right after it was opened, so there are two.
     */
    private static final int POLLED_CALLS_AT_ONCE = 2;

    /**
     * Time beyond its wait after which a call without a response has failed in any case, in
     * milliseconds. Calls are usually dropped sooner.
     */
    private static final int TIMEOUT_MS = 20_000;

    /**
     * Delay before the next call of a pushed list after a failure that is not a repeated refusal,
     * and after a response without a change that came in less than this time; in milliseconds.
     * Discovery ends the watch of a gatherer if no call follows within 200 ms; this delay is well
     * below that limit.
     */
    private static final int RETRY_PAUSE_MS = 50;

    /**
     * Longest time that the connection of a call may take to be established, in milliseconds. What
     * a call tells later than that counts as known before. A call that waits has less time, {@link
     * #TRANSIT_MS}, as it would be noticed too late if it never began.
     */
    private static final int CONNECT_TIMEOUT_MS = 6000;

    /**
     * Time from which on a call that fails was held by discovery and ended, in milliseconds; a call
     * that is refused fails sooner.
     */
    private static final int HELD_MS = 100;

    /**
     * HTTP request for the endpoint list.
     *
     * @param number unique number of the call
     * @param after list version after which changes are requested; negative for the complete list
     * @param waitMs longest time that discovery may keep the call open without a change, in
     *     milliseconds
     * @param timeoutMs time after which a call without a response has failed, in milliseconds from
     *     its start
     * @param startedAtMs time at which the call was made, in milliseconds
     * @param newConnection true if the call must be made on a new connection; false if it may use
     *     the connection of the latest response
     */
    record Call(
            long number,
            long after,
            int waitMs,
            int timeoutMs,
            double startedAtMs,
            boolean newConnection) {
        /** Returns the time that its connection may take to be established, in milliseconds. */
        int connectTimeoutMs() {
            return waitMs >= SHORT_WAIT_MS ? TRANSIT_MS : CONNECT_TIMEOUT_MS;
        }
    }

    /**
     * Step that the caller carries out. Each method returns its steps in the order in which they
     * must be carried out.
     */
    sealed interface Step {
        /** Makes a call. */
        record MakeCall(Call call) implements Step {}

        /** Discards a call and closes its connection. */
        record DropCall(long number) implements Step {}

        /** Reports a list that was received, or an empty change if calls succeed again. */
        record Report(EndpointList list) implements Step {}

        /**
         * Reports that the list is unavailable. The decision policy receives the report and may
         * request a poll. Without a poll, the state machine makes the next call itself.
         *
         * @param reason cause of the failure
         */
        record ReportUnavailable(String reason) implements Step {}

        /**
         * Logs a line.
         *
         * @param warning true for a failure, false for the end of one
         */
        record LogLine(boolean warning, String text) implements Step {}
    }

    private final boolean pushed;
    private final double retryDelayMs;
    private long callsMade;
    private long index = -1;

    /** Latest call while it has no response, else null. */
    private Call current;

    /** Whether the latest call was reported as overdue and no other has been made since. */
    private boolean currentOverdue;

    /** Overdue calls before the latest one, oldest first; their responses are still accepted. */
    private final Deque<Call> overdueCalls = new ArrayDeque<>();

    /** Calls that became overdue since the last response. */
    private int overdueInARow;

    /**
     * Time of the next call if none is open or the open ones are overdue, in milliseconds; infinite
     * if none is scheduled.
     */
    private double nextCallAtMs = Double.POSITIVE_INFINITY;

    /** Whether the latest response had changes since an earlier list version. */
    private boolean changesReceived;

    /** Whether the next call directly follows a response to the one before. */
    private boolean followsResponse;

    /** Whether a call has failed or become overdue since the last response. */
    private boolean unavailable;

    /** Whether the latest call was made because the one before it had failed. */
    private boolean retrying;

    private List<Step> steps = new ArrayList<>();

    /**
     * @param pushed true if the list is pushed to an agent nearby, whose calls put no load on
     *     discovery; false if the list is polled
     * @param retryDelayMs delay before a polled list is requested again after a failure if {@link
     *     #poll} isn't called, in milliseconds
     */
    EndpointWatchStateMachine(boolean pushed, double retryDelayMs) {
        this.pushed = pushed;
        this.retryDelayMs = retryDelayMs;
    }

    /** Makes a call now unless one is open that isn't overdue. */
    List<Step> poll(double nowMs) {
        if (current == null || currentOverdue) {
            makeCall(nowMs);
        }
        return takeSteps();
    }

    /**
     * Starts over after a change of the address of discovery, with the complete list. The list
     * versions of the two addresses are unrelated.
     */
    List<Step> addressChanged(double nowMs) {
        dropCalls();
        index = -1;
        followsResponse = false;
        overdueInARow = 0;
        makeCall(nowMs);
        return takeSteps();
    }

    private void dropCalls() {
        overdueCalls.forEach(call -> steps.add(new Step.DropCall(call.number)));
        overdueCalls.clear();
        if (current != null) {
            steps.add(new Step.DropCall(current.number));
            endCurrent();
        }
    }

    private void endCurrent() {
        current = null;
        currentOverdue = false;
    }

    /** Makes a call, beside the latest one if that is open. */
    private void makeCall(double nowMs) {
        if (current != null) {
            overdueCalls.addLast(current);
        }
        if (overdueCalls.size() >= (pushed ? MAX_OPEN_PUSHED : MAX_OPEN_POLLED)) {
            steps.add(new Step.DropCall(overdueCalls.removeFirst().number));
        }
        nextCallAtMs = Double.POSITIVE_INFINITY;
        currentOverdue = false;
        int waitMs = waitMs();
        boolean newConnection = !followsResponse || waitMs > SHORT_WAIT_MS;
        followsResponse = false;
        current = new Call(++callsMade, index, waitMs, waitMs + TIMEOUT_MS, nowMs, newConnection);
        steps.add(new Step.MakeCall(current));
    }

    /** Returns how long discovery may keep the next call open, in milliseconds. */
    private int waitMs() {
        if (index < 0) {
            return 0;
        }
        if (pushed) {
            return SHORT_WAIT_MS;
        }
        if (unavailable) {
            return SHORTEST_WAIT_MS;
        }
        // Changes often come in quick succession, so the call after one keeps its connection.
        return followsResponse && changesReceived ? SHORT_WAIT_MS : POLLED_WAIT_MS;
    }

    /** Returns the time after which the latest call is overdue, in milliseconds. */
    private double overdueAtMs() {
        if (pushed && unavailable) {
            int transits = Math.max(1, Math.min(overdueInARow, MAX_PUSHED_INTERVAL_TRANSITS));
            return current.startedAtMs + transits * TRANSIT_MS;
        }
        if (current.after < 0) {
            return current.startedAtMs + (unavailable ? 1 : 2) * TRANSIT_MS;
        }
        boolean replacedAtOnce = !pushed && overdueInARow < POLLED_CALLS_AT_ONCE;
        int transitMs = replacedAtOnce ? POLLED_TRANSIT_MS : TRANSIT_MS;
        return current.startedAtMs + current.waitMs + transitMs;
    }

    /**
     * Handles the response to a call. The other open calls are dropped, and the next call follows.
     */
    List<Step> answered(double nowMs, long number, EndpointList list) {
        boolean isCurrent = current != null && number == current.number;
        Call answered = isCurrent ? current : removeOverdue(number);
        if (answered == null) {
            return List.of();
        }
        if (isCurrent) {
            endCurrent();
        }
        if (list.index() < index) {
            // The version decreased, so later changes from discovery don't apply to the list that
            // this gatherer has.
            dropCalls();
            index = -1;
            fail(nowMs, answered, "list index decreased");
            return takeSteps();
        }
        boolean newer = list.index() > index || (isCurrent && !list.servers().isEmpty());
        changesReceived = newer && answered.after >= 0;
        index = list.index();
        reportResponse(list, newer);
        dropCalls();
        callAfterResponse(nowMs, !newer && nowMs - answered.startedAtMs < RETRY_PAUSE_MS);
        return takeSteps();
    }

    private Call removeOverdue(long number) {
        for (Call call : overdueCalls) {
            if (call.number == number) {
                overdueCalls.remove(call);
                return call;
            }
        }
        return null;
    }

    private void reportResponse(EndpointList list, boolean newer) {
        if (newer) {
            steps.add(new Step.Report(list));
        } else if (unavailable) {
            // The decision policy has to know that calls succeed again.
            steps.add(new Step.Report(new EndpointList(index, false, List.of())));
        }
        if (unavailable) {
            unavailable = false;
            steps.add(new Step.LogLine(false, "endpoint list available again: index " + index));
        }
        retrying = false;
        overdueInARow = 0;
    }

    private void callAfterResponse(double nowMs, boolean afterPause) {
        followsResponse = true;
        if (afterPause) {
            nextCallAtMs = nowMs + RETRY_PAUSE_MS;
        } else {
            makeCall(nowMs);
        }
    }

    /** Handles a call that failed or timed out. */
    List<Step> failed(double nowMs, long number, String reason) {
        if (current == null || number != current.number) {
            removeOverdue(number);
        } else if (currentOverdue) {
            // It was reported before, and the next call is scheduled.
            endCurrent();
        } else {
            Call failed = current;
            endCurrent();
            fail(nowMs, failed, reason);
        }
        return takeSteps();
    }

    /**
     * Returns the delay before the next call after a failure, in milliseconds. If the next call
     * follows within 200 ms, discovery continues the watch as if no call had failed; and a call
     * that ends may be all that shows that discovery is reachable again. Only a retry that is
     * refused is not repeated that soon, and no call for a polled list, since it puts load on
     * discovery.
     */
    private double retryAfterMs(double nowMs, Call failed) {
        if (!pushed) {
            return retryDelayMs;
        }
        boolean refused = nowMs - failed.startedAtMs < HELD_MS;
        return refused && retrying ? TRANSIT_MS : RETRY_PAUSE_MS;
    }

    private void fail(double nowMs, Call failed, String reason) {
        followsResponse = false;
        nextCallAtMs = nowMs + retryAfterMs(nowMs, failed);
        retrying = true;
        markUnavailable(reason);
        steps.add(new Step.ReportUnavailable(reason));
    }

    private void markUnavailable(String reason) {
        if (!unavailable) {
            unavailable = true;
            steps.add(
                    new Step.LogLine(
                            true, "endpoint list unavailable, keeping the last one: " + reason));
        }
    }

    /** Handles the timer set for {@link #timerAtMs}. */
    List<Step> timerFired(double nowMs) {
        if (nowMs < timerAtMs()) {
            return List.of();
        }
        if (current == null || currentOverdue) {
            makeCall(nowMs);
        } else {
            becameOverdue(nowMs);
        }
        return takeSteps();
    }

    /**
     * Handles a latest call that is overdue. The first calls that replace silent ones are made at
     * once, as the gatherer will soon count as notified of what was missed. Further ones to a
     * polled discovery wait for the decision policy.
     */
    private void becameOverdue(double nowMs) {
        boolean parallelAtOnce = pushed || overdueInARow < POLLED_CALLS_AT_ONCE;
        overdueInARow++;
        retrying = false;
        followsResponse = false;
        if (!pushed || !unavailable) {
            markUnavailable("a call is overdue, making another in parallel");
            steps.add(new Step.ReportUnavailable("no answer"));
        }
        if (parallelAtOnce) {
            makeCall(nowMs);
        } else {
            currentOverdue = true;
            nextCallAtMs = nowMs + retryDelayMs;
        }
    }

    /**
     * Returns the time at which to call {@link #timerFired}, in milliseconds; infinite if never.
     * The value may change with each call of another method.
     */
    double timerAtMs() {
        return current == null || currentOverdue ? nextCallAtMs : overdueAtMs();
    }

    private List<Step> takeSteps() {
        List<Step> taken = steps;
        steps = new ArrayList<>();
        return taken;
    }
}
