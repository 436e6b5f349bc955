package sprucehold.rig.link;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import sprucehold.rig.fault.LinkBoard;
import sprucehold.rig.fault.Treatment;
import sprucehold.rig.script.Fault;

/**
 * One direction of one connection: what is pushed in comes out in the same order, when the link
 * lets it. A cut holds back, as TCP sends again what got lost; who waits too long closes.
 */
public final class Shaper<T> {
    private record Held<T>(double dueMs, long bytes, T what) {}

    private final LinkBoard board;
    private final String from;
    private final String to;
    private final UniformRandomProvider chance;
    private final ArrayDeque<Held<T>> held = new ArrayDeque<>();
    private final boolean halfOpen;
    private Treatment treatment;
    private long version = -1;
    private double lastMs;
    private long passed;

    /**
     * @param chance draws which messages take the long tail of a delay
     */
    public Shaper(LinkBoard board, String from, String to, UniformRandomProvider chance) {
        this.board = board;
        this.from = from;
        this.to = to;
        this.chance = chance;
        this.halfOpen = treatment().halfOpen();
    }

    private Treatment treatment() {
        if (version != board.version()) {
            version = board.version();
            treatment = board.of(from, to);
        }
        return treatment;
    }

    /** Takes a message; it comes out of {@link #due} no sooner than the link lets it. */
    public void push(double nowMs, long bytes, T what) {
        Treatment now = treatment();
        double delay =
                now.delayMs() <= 0
                        ? 0
                        : chance.nextDouble() < 0.05 ? 4 * now.delayMs() : now.delayMs();
        double sendMs = Math.max(nowMs + delay, lastMs);
        lastMs = sendMs + 1000 * bytes / now.bytesPerS();
        held.add(new Held<>(lastMs, bytes, what));
    }

    /** All that passes by now. */
    public List<T> due(double nowMs) {
        var due = new ArrayList<T>();
        while (!held.isEmpty() && open() && held.peek().dueMs <= nowMs) {
            Held<T> next = held.poll();
            passed += next.bytes;
            due.add(next.what);
        }
        return due;
    }

    private boolean open() {
        return !halfOpen && treatment().cut() == null && !broken();
    }

    /** Whether so much has passed that the connection is to be cut. */
    public boolean broken() {
        return passed >= treatment().cutAfterBytes();
    }

    /** Whether the link is cut by resets. */
    public boolean resets() {
        return treatment().cut() == Fault.Mode.RESET;
    }

    /** When the next message may pass; infinite while none waits or the link is cut. */
    public double nextMs() {
        return held.isEmpty() || !open() ? Double.POSITIVE_INFINITY : held.peek().dueMs;
    }

    /** Whether nothing is held back. */
    public boolean empty() {
        return held.isEmpty();
    }
}
