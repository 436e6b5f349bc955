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
 * When one source first heard of each change of the list, by its own clock. A change is a server's
 * name, its start and its mode; one that comes up again, as a server that drains and returns, is
 * told apart by its turn.
 */
public final class EndpointSightings {
    /** Changes kept at most: a line through ten thousand points is as good as through more. */
    private static final int MOST = 10_000;

    private final Map<String, Double> seen = new LinkedHashMap<>();
    private final Map<String, Integer> turns = new HashMap<>();
    private final Map<String, String> lastOf = new HashMap<>();

    public void add(Entry entry) {
        if (!(entry instanceof PolicyCall call)) {
            return;
        }
        for (Item item : call.items()) {
            if (item.event() instanceof Event.EndpointsUpdated list) {
                for (Endpoint server : list.endpoints()) {
                    see(server, list.complete(), call.nowMs());
                }
            }
        }
    }

    private void see(Endpoint server, boolean complete, double nowMs) {
        String what = server.startedAtMs() + " " + server.state();
        String before = lastOf.put(server.server(), what);
        // A whole list repeats what was known, and a first one tells of nothing that happened just
        // then.
        if (what.equals(before) || complete && before == null || seen.size() >= MOST) {
            return;
        }
        String change = server.server() + " " + what;
        seen.putIfAbsent(change + " " + turns.merge(change, 1, Integer::sum), nowMs);
    }

    Map<String, Double> seen() {
        return seen;
    }
}
