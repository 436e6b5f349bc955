package sprucehold.trace.correlation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Event;

/**
 * The state of one query while a {@link QueryCorrelator} processes the items of a trace. There is
 * exactly one object per query, so queries can be compared by identity.
 */
public final class CorrelatedQuery {
    private final int source;
    private final Event.QueryReceived received;
    private final double receivedMs;
    final Map<String, CorrelatedPart> parts = new HashMap<>();
    boolean ended;
    boolean secondStep;
    int pendingAttempts;

    CorrelatedQuery(int source, Event.QueryReceived received, double receivedMs) {
        this.source = source;
        this.received = received;
        this.receivedMs = receivedMs;
    }

    /** One part, and the shard servers that its attempts were sent to, by attempt number. */
    static final class CorrelatedPart {
        final CorrelatedQuery query;
        final List<String> servers = new ArrayList<>(1);

        CorrelatedPart(CorrelatedQuery query) {
            this.query = query;
        }
    }

    /** Returns the index of the query's source in the file's header. */
    public int source() {
        return source;
    }

    /** Returns the event by which the query was received. */
    public Event.QueryReceived received() {
        return received;
    }

    /** Returns the time at which the query was received, by its source's clock. */
    public double receivedMs() {
        return receivedMs;
    }

    /** Returns whether the query's final answer or its client's disconnection was processed. */
    public boolean ended() {
        return ended;
    }

    /** Returns the number of attempts that were sent and have not ended. */
    public int pendingAttempts() {
        return pendingAttempts;
    }
}
