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

/** Figures of one or several traces, by query class, tenant, shard server, reason and time. */
public final class TraceSummary {
    /**
     * Beyond so many tenants or servers, new ones are counted together: a histogram takes some
     * kilobytes.
     */
    private static final int MOST_NAMES = 500;

    private static final String OTHERS = "(others)";

    /** Stretches of time on a chart; when there are more, two become one. */
    private static final int MOST_STRETCHES = 240;

    private final QueryGroup all = new QueryGroup();
    private final Map<String, QueryGroup> byType = new TreeMap<>();
    private final Map<String, QueryGroup> byCustomer = new TreeMap<>();
    private final Map<String, QueryGroup> byGatherer = new TreeMap<>();
    private final Map<String, ServerGroup> byServer = new TreeMap<>();
    private final Map<Reason, Long> reasons = new EnumMap<>(Reason.class);
    private final Map<QueryStatistics.Outcome, Map<Reason, Long>> outcomes =
            new EnumMap<>(QueryStatistics.Outcome.class);
    private TreeMap<Long, long[]> stretches = new TreeMap<>();
    private double stretchMs = 1000;
    private long gaps;
    private long notRecorded;
    private long records;

    /** Counts all of a file. */
    public void add(TraceReader reader, LongConsumer progress) throws IOException {
        var correlator = new QueryCorrelator();
        var tallies = new QueryStatisticsCollector(statistics -> add(statistics, reader));
        TraceCursor cursor = reader.all();
        long read = 0;
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            tallies.add(entry);
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
        tallies.end();
    }

    private void add(Item item, String server) {
        if (item.command() != null) {
            reasons.merge(item.command().reason(), 1L, Long::sum);
        }
        if (item.command() instanceof Command.SendAttempt sendAttempt) {
            of(byServer, sendAttempt.server(), ServerGroup::new).dispatched();
            sendAttempt
                    .skipped()
                    .forEach(
                            passed ->
                                    of(byServer, passed.server(), ServerGroup::new)
                                            .passedOver(passed.cause()));
        } else if (item.event() instanceof Event.AttemptEnded ended && server != null) {
            of(byServer, server, ServerGroup::new).ended(ended.outcome(), ended.durationMs());
        }
    }

    private void add(QueryStatistics statistics, TraceReader reader) {
        var source = reader.header().sources().get(statistics.query().source());
        all.add(statistics);
        byType.computeIfAbsent(
                        statistics.query().received().queryClass().name(), name -> new QueryGroup())
                .add(statistics);
        of(byCustomer, statistics.tenant(), QueryGroup::new).add(statistics);
        of(byGatherer, source.gatherer(), QueryGroup::new).add(statistics);
        outcomes.computeIfAbsent(statistics.outcome(), how -> new EnumMap<>(Reason.class))
                .merge(statistics.reason(), 1L, Long::sum);
        long[] counts =
                stretches.computeIfAbsent(
                        (long)
                                Math.floor(
                                        source.clock().corrected(statistics.query().receivedMs())
                                                / stretchMs),
                        at -> new long[4]);
        counts[0]++;
        counts[1] += statistics.metLatencyObjective() ? 1 : 0;
        counts[2] += statistics.outcome() == QueryStatistics.Outcome.REJECTED ? 1 : 0;
        counts[3] += statistics.outcome() == QueryStatistics.Outcome.FAILED ? 1 : 0;
        while (stretches.size() > MOST_STRETCHES) {
            stretchMs *= 2;
            var wider = new TreeMap<Long, long[]>();
            stretches.forEach(
                    (at, of) -> {
                        long[] sum =
                                wider.computeIfAbsent(Math.floorDiv(at, 2L), none -> new long[4]);
                        for (int i = 0; i < sum.length; i++) {
                            sum[i] += of[i];
                        }
                    });
            stretches = wider;
        }
    }

    private static <G> G of(Map<String, G> groups, String name, Supplier<G> fresh) {
        G known = groups.get(name);
        if (known != null) {
            return known;
        }
        return groups.computeIfAbsent(
                groups.size() >= MOST_NAMES ? OTHERS : name, none -> fresh.get());
    }

    public QueryGroup all() {
        return all;
    }

    public Map<String, QueryGroup> byType() {
        return byType;
    }

    public Map<String, QueryGroup> byCustomer() {
        return byCustomer;
    }

    public Map<String, QueryGroup> byGatherer() {
        return byGatherer;
    }

    public Map<String, ServerGroup> byServer() {
        return byServer;
    }

    /** How many commands were wanted why. */
    public Map<Reason, Long> reasons() {
        return reasons;
    }

    /** How many queries ended how, and why. */
    public Map<QueryStatistics.Outcome, Map<Reason, Long>> outcomes() {
        return outcomes;
    }

    /**
     * By stretch of {@link #stretchMs}, numbered from 1970: queries, in latency objective,
     * rejected, failed.
     */
    public TreeMap<Long, long[]> stretches() {
        return stretches;
    }

    public double stretchMs() {
        return stretchMs;
    }

    public long gaps() {
        return gaps;
    }

    /** Calls of the policy that gaps stand for. */
    public long notRecorded() {
        return notRecorded;
    }

    /** Events and commands counted. */
    public long records() {
        return records;
    }
}
