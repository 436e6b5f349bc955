package sprucehold.tracetools.clock;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;

/**
 * Times at which one source first received each change of the endpoint list, by its own clock. A
 * change is identified by the server's name, start and state. A server may return to an earlier
 * state, for example after a drain, so repeated changes are numbered.
 */
public final class EndpointSightings {
    /**
     * Maximum number of changes kept: a line through ten thousand points is as accurate as a line
     * through more.
     */
    private static final int MAX_CHANGES = 10_000;

    private final Map<String, Double> firstSeenMs = new LinkedHashMap<>();
    private final Map<String, Integer> occurrences = new HashMap<>();
    private final Map<String, String> lastStates = new HashMap<>();

    public void add(Entry entry) {
        if (!(entry instanceof PolicyCall call)) {
            return;
        }
        for (Item item : call.items()) {
            if (item.event() instanceof Event.EndpointsUpdated list) {
                for (Endpoint server : list.endpoints()) {
                    addSighting(server, list.complete(), call.nowMs());
                }
            }
        }
    }

    private void addSighting(Endpoint server, boolean complete, double nowMs) {
        String state = server.startedAtMs() + " " + server.state();
        String previous = lastStates.put(server.server(), state);
        // Skips states that are already known, which a complete list repeats. Also skips servers
        // that first appear in a complete list, since they may have changed long before it.
        if (state.equals(previous)
                || complete && previous == null
                || firstSeenMs.size() >= MAX_CHANGES) {
            return;
        }
        String change = server.server() + " " + state;
        firstSeenMs.putIfAbsent(change + " " + occurrences.merge(change, 1, Integer::sum), nowMs);
    }

    Map<String, Double> firstSeenMs() {
        return firstSeenMs;
    }
}
