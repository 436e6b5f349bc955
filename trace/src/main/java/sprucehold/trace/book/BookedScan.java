package sprucehold.trace.book;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Event;

/**
 * A scan as it is met in a trace. There is one object a scan, so it can be compared by identity.
 */
public final class BookedScan {
    private final int source;
    private final Event.QueryReceived taken;
    private final double takenMs;
    final Map<String, BookedPart> parts = new HashMap<>();
    boolean ended;
    boolean secondStep;
    int out;

    BookedScan(int source, Event.QueryReceived taken, double takenMs) {
        this.source = source;
        this.taken = taken;
        this.takenMs = takenMs;
    }

    /** One part, and the servers that it was sent to so far. */
    static final class BookedPart {
        final BookedScan scan;
        final List<String> servers = new ArrayList<>(1);

        BookedPart(BookedScan scan) {
            this.scan = scan;
        }
    }

    public int source() {
        return source;
    }

    public Event.QueryReceived taken() {
        return taken;
    }

    /** When it was taken, by its source's clock. */
    public double takenMs() {
        return takenMs;
    }

    /** Whether its final answer, or its client's leaving, has been met. */
    public boolean ended() {
        return ended;
    }

    /** Dispatches of it that are out. */
    public int out() {
        return out;
    }
}
