package sprucehold.rig.link;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import sprucehold.rig.fault.LinkConditions;
import sprucehold.rig.fault.LinkFaults;
import sprucehold.rig.script.Fault;

/**
 * One direction of one connection. Messages come out in the order in which they were pushed, once
 * the faults of the link allow it. While the link is cut, messages are held back rather than lost,
 * because TCP would retransmit them; a party that waits too long closes the connection itself.
 */
public final class Shaper<T> {
    private record Queued<T>(double dueMs, long bytes, T message) {}

    private final LinkFaults faults;
    private final String from;
    private final String to;
    private final UniformRandomProvider random;
    private final ArrayDeque<Queued<T>> queue = new ArrayDeque<>();
    private final boolean halfOpen;
    private LinkConditions conditions;
    private long version = -1;
    private double freeAtMs;
    private long passedBytes;

    /**
     * @param random draws which messages get the long tail of a delay
     */
    public Shaper(LinkFaults faults, String from, String to, UniformRandomProvider random) {
        this.faults = faults;
        this.from = from;
        this.to = to;
        this.random = random;
        this.halfOpen = conditions().halfOpen();
    }

    private LinkConditions conditions() {
        if (version != faults.version()) {
            version = faults.version();
            conditions = faults.conditions(from, to);
        }
        return conditions;
    }

    /** Queues a message. {@link #due} returns it once the faults of the link allow it. */
    public void push(double nowMs, long bytes, T message) {
        LinkConditions link = conditions();
        double delay =
                link.delayMs() <= 0
                        ? 0
                        : random.nextDouble() < 0.05 ? 4 * link.delayMs() : link.delayMs();
        double sendMs = Math.max(nowMs + delay, freeAtMs);
        freeAtMs = sendMs + 1000 * bytes / link.bytesPerS();
        queue.add(new Queued<>(freeAtMs, bytes, message));
    }

    /** Removes and returns the messages that may pass up to now. */
    public List<T> due(double nowMs) {
        var due = new ArrayList<T>();
        while (!queue.isEmpty() && mayPass() && queue.peek().dueMs <= nowMs) {
            Queued<T> next = queue.poll();
            passedBytes += next.bytes;
            due.add(next.message);
        }
        return due;
    }

    private boolean mayPass() {
        return !halfOpen && conditions().cut() == null && !broken();
    }

    /**
     * Returns whether as many bytes have passed as a fault allows before it cuts the connection.
     */
    public boolean broken() {
        return passedBytes >= conditions().cutAfterBytes();
    }

    /** Returns whether the link is cut with resets. */
    public boolean resets() {
        return conditions().cut() == Fault.Mode.RESET;
    }

    /**
     * Returns when the next message may pass, in milliseconds; infinite if none is queued or the
     * link is cut.
     */
    public double nextMs() {
        return queue.isEmpty() || !mayPass() ? Double.POSITIVE_INFINITY : queue.peek().dueMs;
    }

    /** Returns whether no message is queued. */
    public boolean empty() {
        return queue.isEmpty();
    }
}
