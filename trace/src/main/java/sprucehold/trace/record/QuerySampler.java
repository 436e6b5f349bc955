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
 * Keeps all items of every query that was not answered completely within its latency objective, and
 * of one in n of the other queries. Entries are returned in the order in which they were added. An
 * entry waits until all its queries have ended. Uses no files, clocks or threads.
 */
public final class QuerySampler {
    /**
     * Largest number of entries that wait. The bound protects against queries whose end is missing,
     * for example after a gap. At 1000 calls per second an entry can still wait for 20 s, which is
     * longer than any deadline. An entry that is released because of the bound keeps the items of
     * its undecided queries.
     */
    private static final int MAX_WAITING_ENTRIES = 20_000;

    private final int oneIn;
    private final QueryCorrelator correlator = new QueryCorrelator();
    private final ArrayDeque<WaitingEntry> waitingEntries = new ArrayDeque<>();
    private final Map<CorrelatedQuery, Decision> decisions = new HashMap<>();

    private static final class Decision {
        boolean decided;
        boolean kept;
        int waitingItems;
    }

    private record WaitingEntry(Entry entry, List<CorrelatedQuery> queries) {}

    /**
     * Creates a sampler.
     *
     * @param oneIn sampling rate n, at least 1: one in n of the queries that were answered
     *     completely within their latency objective is kept
     */
    public QuerySampler(int oneIn) {
        this.oneIn = oneIn;
    }

    /** Adds the next entry and returns the entries that can be released now. */
    public List<Entry> add(Entry entry) {
        if (!(entry instanceof PolicyCall call)) {
            waitingEntries.add(new WaitingEntry(entry, List.of()));
            return release(false);
        }
        var queries = new ArrayList<CorrelatedQuery>(call.items().size());
        for (Item item : call.items()) {
            CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
            queries.add(query);
            if (query != null) {
                Decision decision = decisions.computeIfAbsent(query, unused -> new Decision());
                decision.waitingItems++;
                decide(decision, query, item, call.nowMs());
            }
        }
        waitingEntries.add(new WaitingEntry(call, queries));
        return release(false);
    }

    /** Returns all waiting entries; queries that have not ended are kept. */
    public List<Entry> finish() {
        return release(true);
    }

    private void decide(Decision decision, CorrelatedQuery query, Item item, double nowMs) {
        if (decision.decided || !query.ended()) {
            return;
        }
        decision.decided = true;
        boolean endedWellInTime =
                item.command() instanceof Command.AnswerQuery answer
                        && answer.complete()
                        && nowMs
                                <= query.receivedMs()
                                        + query.received().queryClass().latencyObjectiveMs();
        decision.kept =
                !endedWellInTime || Math.floorMod(query.received().id().hashCode(), oneIn) == 0;
    }

    private List<Entry> release(boolean releaseAll) {
        var released = new ArrayList<Entry>();
        while (!waitingEntries.isEmpty()
                && (releaseAll
                        || waitingEntries.size() > MAX_WAITING_ENTRIES
                        || isDecided(waitingEntries.peek()))) {
            WaitingEntry first = waitingEntries.poll();
            Entry kept = withKeptItems(first);
            if (kept != null) {
                released.add(kept);
            }
            for (CorrelatedQuery query : first.queries) {
                Decision decision = query == null ? null : decisions.get(query);
                // The end of a pending attempt may still be added and needs the decision.
                if (decision != null
                        && --decision.waitingItems == 0
                        && query.ended()
                        && query.pendingAttempts() <= 0) {
                    decisions.remove(query);
                }
            }
        }
        return released;
    }

    private boolean isDecided(WaitingEntry waiting) {
        return waiting.queries.stream()
                .allMatch(query -> query == null || decisions.get(query).decided);
    }

    private Entry withKeptItems(WaitingEntry waiting) {
        if (waiting.entry instanceof Gap) {
            return waiting.entry;
        }
        PolicyCall call = (PolicyCall) waiting.entry;
        var items = new ArrayList<Item>();
        for (int i = 0; i < call.items().size(); i++) {
            Item item = call.items().get(i);
            CorrelatedQuery query = waiting.queries.get(i);
            Decision decision = query == null ? null : decisions.get(query);
            // Wake-ups and their scheduling make up most of a quiet file and are of no use if other
            // items are omitted.
            boolean timerItem =
                    item.event() instanceof Event.WakeUp
                            || item.command() instanceof Command.ScheduleWakeUp;
            if (!timerItem && (decision == null || !decision.decided || decision.kept)) {
                items.add(item);
            }
        }
        return items.isEmpty() && !call.policyFailed() ? null : call.withItems(items);
    }

    /** Returns the number of waiting entries plus the number of stored decisions. */
    int retainedObjects() {
        return waitingEntries.size() + decisions.size();
    }
}
