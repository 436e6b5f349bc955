package sprucehold.trace.correlation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Event;

/**
 * A query as it is met in a trace. There is one object a query, so it can be compared by identity.
 */
public final class CorrelatedQuery {
    private final int source;
    private final Event.QueryReceived received;
    private final double receivedMs;
    final Map<String, CorrelatedPart> parts = new HashMap<>();
    boolean ended;
    boolean secondStep;
    int pendingAttempts;

    CorrelatedQuery(int source, Event.QueryReceived taken, double takenMs) {
        this.source = source;
        this.received = taken;
        this.receivedMs = takenMs;
    }

    /** One part, and the servers that it was sent to so far. */
    static final class CorrelatedPart {
        final CorrelatedQuery query;
        final List<String> servers = new ArrayList<>(1);

        CorrelatedPart(CorrelatedQuery query) {
            this.query = query;
        }
    }

    /** The index of its source in the file's header. */
    public int source() {
        return source;
    }

    /** The event by which it began. */
    public Event.QueryReceived received() {
        return received;
    }

    /** When it was taken, by its source's clock. */
    public double receivedMs() {
        return receivedMs;
    }

    /** Whether its final answer, or its client's leaving, has been met. */
    public boolean ended() {
        return ended;
    }

    /** Attempts of it that are out. */
    public int pendingAttempts() {
        return pendingAttempts;
    }
}
