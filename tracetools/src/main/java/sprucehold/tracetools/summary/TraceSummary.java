package sprucehold.tracetools.summary;

import java.io.IOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.explanation.QueryStatistics;
import sprucehold.tracetools.explanation.QueryStatisticsCollector;

/**
 * Statistics of one or more traces, by query class, tenant, gatherer, shard server, reason and
 * time.
 */
public final class TraceSummary {
    /**
     * Maximum number of tenants, gatherers or servers that are counted separately. Further ones are
     * counted together, because a histogram takes several kilobytes.
     */
    private static final int MAX_NAMES = 500;

    private static final String OTHERS = "(others)";

    /** Maximum number of time intervals on a chart; beyond it, pairs of intervals are joined. */
    private static final int MAX_INTERVALS = 240;

    private final QueryGroup all = new QueryGroup();
    private final Map<String, QueryGroup> byQueryClass = new TreeMap<>();
    private final Map<String, QueryGroup> byTenant = new TreeMap<>();
    private final Map<String, QueryGroup> byGatherer = new TreeMap<>();
    private final Map<String, ServerGroup> byServer = new TreeMap<>();
    private final Map<Reason, Long> reasons = new EnumMap<>(Reason.class);
    private final Map<QueryStatistics.Outcome, Map<Reason, Long>> outcomes =
            new EnumMap<>(QueryStatistics.Outcome.class);
    private TreeMap<Long, long[]> intervals = new TreeMap<>();
    private double intervalMs = 1000;
    private long gaps;
    private long notRecorded;
    private long records;

    /**
     * Adds all entries of a trace file.
     *
     * @param progress receives the number of entries read so far, from time to time
     */
    public void add(TraceReader reader, LongConsumer progress) throws IOException {
        var correlator = new QueryCorrelator();
        var collector = new QueryStatisticsCollector(statistics -> add(statistics, reader));
        TraceCursor cursor = reader.all();
        long read = 0;
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            collector.add(entry);
            if (entry instanceof Gap gap) {
                gaps++;
                notRecorded += gap.calls();
            } else if (entry instanceof PolicyCall call) {
                for (Item item : call.items()) {
                    records++;
                    correlator.add(call.source(), call.nowMs(), item);
                    add(item, correlator.server());
                }
            }
            if (++read % 65_536 == 0) {
                progress.accept(read);
            }
        }
        collector.end();
    }

    private void add(Item item, String server) {
        if (item.command() != null) {
            reasons.merge(item.command().reason(), 1L, Long::sum);
        }
        if (item.command() instanceof Command.SendAttempt sendAttempt) {
            group(byServer, sendAttempt.server(), ServerGroup::new).addAttempt();
            sendAttempt
                    .skipped()
                    .forEach(
                            skipped ->
                                    group(byServer, skipped.server(), ServerGroup::new)
                                            .addSkipped(skipped.cause()));
        } else if (item.event() instanceof Event.AttemptEnded ended && server != null) {
            group(byServer, server, ServerGroup::new).addEnd(ended.outcome(), ended.durationMs());
        }
    }

    private void add(QueryStatistics statistics, TraceReader reader) {
        var source = reader.header().sources().get(statistics.query().source());
        all.add(statistics);
        byQueryClass
                .computeIfAbsent(
                        statistics.query().received().queryClass().name(), name -> new QueryGroup())
                .add(statistics);
        group(byTenant, statistics.tenant(), QueryGroup::new).add(statistics);
        group(byGatherer, source.gatherer(), QueryGroup::new).add(statistics);
        outcomes.computeIfAbsent(statistics.outcome(), outcome -> new EnumMap<>(Reason.class))
                .merge(statistics.reason(), 1L, Long::sum);
        long[] counts =
                intervals.computeIfAbsent(
                        (long)
                                Math.floor(
                                        source.clock().corrected(statistics.query().receivedMs())
                                                / intervalMs),
                        key -> new long[4]);
        counts[0]++;
        counts[1] += statistics.metLatencyObjective() ? 1 : 0;
        counts[2] += statistics.outcome() == QueryStatistics.Outcome.REJECTED ? 1 : 0;
        counts[3] += statistics.outcome() == QueryStatistics.Outcome.FAILED ? 1 : 0;
        while (intervals.size() > MAX_INTERVALS) {
            intervalMs *= 2;
            var wider = new TreeMap<Long, long[]>();
            intervals.forEach(
                    (index, values) -> {
                        long[] sum =
                                wider.computeIfAbsent(Math.floorDiv(index, 2L), key -> new long[4]);
                        for (int i = 0; i < sum.length; i++) {
                            sum[i] += values[i];
                        }
                    });
            intervals = wider;
        }
    }

    private static <G> G group(Map<String, G> groups, String name, Supplier<G> factory) {
        G existing = groups.get(name);
        if (existing != null) {
            return existing;
        }
        return groups.computeIfAbsent(
                groups.size() >= MAX_NAMES ? OTHERS : name, key -> factory.get());
    }

    public QueryGroup all() {
        return all;
    }

    public Map<String, QueryGroup> byQueryClass() {
        return byQueryClass;
    }

    public Map<String, QueryGroup> byTenant() {
        return byTenant;
    }

    public Map<String, QueryGroup> byGatherer() {
        return byGatherer;
    }

    public Map<String, ServerGroup> byServer() {
        return byServer;
    }

    /** Returns the number of commands for each reason. */
    public Map<Reason, Long> reasons() {
        return reasons;
    }

    /** Returns the number of queries for each outcome and reason. */
    public Map<QueryStatistics.Outcome, Map<Reason, Long>> outcomes() {
        return outcomes;
    }

    /**
     * Returns the counts of each time interval of {@link #intervalMs} milliseconds. The key is the
     * number of the interval since 1970. The values are the numbers of all queries, of queries that
     * met their latency objective, of rejected queries and of failed queries.
     */
    public TreeMap<Long, long[]> intervals() {
        return intervals;
    }

    public double intervalMs() {
        return intervalMs;
    }

    public long gaps() {
        return gaps;
    }

    /** Returns the number of policy calls that were not recorded, summed over all gaps. */
    public long notRecorded() {
        return notRecorded;
    }

    /** Returns the number of events and commands. */
    public long records() {
        return records;
    }
}
