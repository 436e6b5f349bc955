package sprucehold.trace.record;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;

/**
 * Keeps every query that ended badly or late whole, and one in n of the others. Entries go in and
 * come out in the same order; an entry waits until all its queries have ended. Pure: no files,
 * clocks or threads.
 */
public final class QuerySampler {
    /**
     * Entries that may wait. Guards against queries that never end, as after a gap; at a thousand
     * calls a second it is longer than any deadline. What is pushed out undecided is kept.
     */
    private static final int MOST_WAITING = 20_000;

    private final int oneIn;
    private final QueryCorrelator correlator = new QueryCorrelator();
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    private final Map<CorrelatedQuery, Decision> decisions = new HashMap<>();

    private static final class Decision {
        boolean known;
        boolean kept;
        int mentions;
    }

    private record Held(Entry entry, List<CorrelatedQuery> queries) {}

    /**
     * @param oneIn 1 or more; of the queries that ended well and in time, one in so many is kept
     */
    public QuerySampler(int oneIn) {
        this.oneIn = oneIn;
    }

    /** Takes the next entry, and returns those that are decided by now. */
    public List<Entry> add(Entry entry) {
        if (!(entry instanceof PolicyCall call)) {
            held.add(new Held(entry, List.of()));
            return release(false);
        }
        var queries = new ArrayList<CorrelatedQuery>(call.items().size());
        for (Item item : call.items()) {
            CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
            queries.add(query);
            if (query != null) {
                Decision fate = decisions.computeIfAbsent(query, none -> new Decision());
                fate.mentions++;
                decide(fate, query, item, call.nowMs());
            }
        }
        held.add(new Held(call, queries));
        return release(false);
    }

    /** Returns all that waits; queries that have not ended are kept. */
    public List<Entry> end() {
        return release(true);
    }

    private void decide(Decision fate, CorrelatedQuery query, Item item, double nowMs) {
        if (fate.known || !query.ended()) {
            return;
        }
        fate.known = true;
        boolean well =
                item.command() instanceof Command.AnswerQuery answer
                        && answer.complete()
                        && nowMs
                                <= query.receivedMs()
                                        + query.received().queryClass().latencyObjectiveMs();
        fate.kept = !well || Math.floorMod(query.received().id().hashCode(), oneIn) == 0;
    }

    private List<Entry> release(boolean all) {
        var released = new ArrayList<Entry>();
        while (!held.isEmpty() && (all || held.size() > MOST_WAITING || decided(held.peek()))) {
            Held first = held.poll();
            Entry kept = kept(first);
            if (kept != null) {
                released.add(kept);
            }
            for (CorrelatedQuery query : first.queries) {
                Decision fate = query == null ? null : decisions.get(query);
                // A late end of an attempt may still come where one is out.
                if (fate != null
                        && --fate.mentions == 0
                        && query.ended()
                        && query.pendingAttempts() <= 0) {
                    decisions.remove(query);
                }
            }
        }
        return released;
    }

    private boolean decided(Held entry) {
        return entry.queries.stream()
                .allMatch(query -> query == null || decisions.get(query).known);
    }

    private Entry kept(Held one) {
        if (one.entry instanceof Gap) {
            return one.entry;
        }
        PolicyCall call = (PolicyCall) one.entry;
        var items = new ArrayList<Item>();
        for (int i = 0; i < call.items().size(); i++) {
            Item item = call.items().get(i);
            CorrelatedQuery query = one.queries.get(i);
            Decision fate = query == null ? null : decisions.get(query);
            // What merely passes the time is most of a quiet file, and tells nothing without the
            // rest.
            boolean time =
                    item.event() instanceof Event.WakeUp
                            || item.command() instanceof Command.ScheduleWakeUp;
            if (!time && (fate == null || !fate.known || fate.kept)) {
                items.add(item);
            }
        }
        return items.isEmpty() && !call.policyFailed() ? null : call.withItems(items);
    }

    /** How many entries wait, and how many queries are remembered. */
    int waiting() {
        return held.size() + decisions.size();
    }
}
