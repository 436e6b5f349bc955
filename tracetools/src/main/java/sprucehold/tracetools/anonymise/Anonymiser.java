package sprucehold.tracetools.anonymise;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.SkippedReplica;
import sprucehold.decision.Tenant;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;

/**
 * Writes a copy of a trace file that doesn't identify anybody. Reads the input twice, once to count
 * queries and once to write them, and keeps the queries of about one time interval in memory.
 */
public final class Anonymiser {
    /**
     * Length of a time interval, one hour in milliseconds. The traffic of a shop varies from hour
     * to hour, so the output must not show finer times.
     */
    public static final double INTERVAL_MS = 3_600_000;

    /** Minimum number of pseudonyms. With fewer, a guess would be right too often. */
    private static final int MIN_PSEUDONYMS = 5;

    /**
     * Step to which the number of queries in a cell is rounded down, so that the start or end of a
     * single shop's traffic isn't visible.
     */
    private static final int COUNT_STEP = 10;

    /** Step to which durations within a query are rounded, in milliseconds. */
    private static final double DURATION_STEP_MS = 5;

    /**
     * Time after which an interval is written, in milliseconds from its end. It is longer than any
     * client waits. A query that ends after its interval was written is left out.
     */
    private static final double MAX_QUERY_MS = 900_000;

    private static final String POOL = "others";

    /** Information that an anonymised file lacks, stored in the header of the file. */
    static final List<String> LOST =
            List.of(
                    "customers: all but some large ones are pooled as '"
                            + POOL
                            + "', and a pseudonym shows no true volume, rhythm or"
                            + " mix of table types",
                    "when a scan was taken: only in which hour; within it scans stand in an order of chance, evenly spread",
                    "how many scans there were: tens of an hour and table type are whole, what is over is left out",
                    "segments: the parts of a scan are numbered from 0",
                    "ids, load reports, the operators' notes, probes, and news of the list",
                    "durations are rounded to "
                            + (int) DURATION_STEP_MS
                            + " ms, clients' patience to 100 ms, weights to equal ones");

    private final Pseudonyms pseudonyms;
    private final PseudonymQuota quota = new PseudonymQuota();
    private final Map<PseudonymQuota.Cell, Integer> queriesByCell = new HashMap<>();
    private final Map<String, Tenant> named = new LinkedHashMap<>();
    private Tenant pool;
    private Source source;
    private Deployment deployment;
    private long seq;
    private long number;

    private Anonymiser(String key) {
        pseudonyms = new Pseudonyms(key);
    }

    /**
     * Counts of an anonymised file.
     *
     * @param queries number of queries written
     * @param leftOut number of queries left out
     * @param pseudonyms number of tenants with a pseudonym of their own
     * @param pooled number of queries written that show the pool instead of a pseudonym
     */
    public record Written(long queries, long leftOut, int pseudonyms, long pooled) {}

    /** A query with its events and commands, and the id of its source. */
    private record RecordedQuery(CorrelatedQuery query, List<RecordedItem> items, String origin) {}

    /** An event or command, and its time since the receipt of the query, in milliseconds. */
    private record RecordedItem(double afterMs, Item item) {}

    /**
     * Writes an anonymised copy of a trace file.
     *
     * @param key key of the pseudonyms; its holder can derive them again
     * @throws IllegalArgumentException if the key is too short
     */
    public static Written anonymise(TraceReader reader, String key, Path to, LongConsumer progress)
            throws IOException {
        var anonymiser = new Anonymiser(key);
        anonymiser.count(reader, progress);
        return anonymiser.write(reader, to, progress);
    }

    private static PseudonymQuota.Cell cell(Source source, CorrelatedQuery query) {
        long interval =
                (long) Math.floor(source.clock().corrected(query.receivedMs()) / INTERVAL_MS);
        return new PseudonymQuota.Cell(interval, query.received().queryClass().name());
    }

    private void count(TraceReader reader, LongConsumer progress) throws IOException {
        var correlator = new QueryCorrelator();
        long read = 0;
        TraceCursor cursor = reader.all();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            if (entry instanceof PolicyCall call) {
                for (Item item : call.items()) {
                    CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                    if (item.event() instanceof Event.QueryReceived received) {
                        PseudonymQuota.Cell cell =
                                cell(reader.header().sources().get(call.source()), query);
                        queriesByCell.merge(cell, 1, Integer::sum);
                        if (received.tenant() != null) {
                            quota.count(received.tenant().name(), cell);
                        }
                    }
                }
            }
            if (++read % 65_536 == 0) {
                progress.accept(read);
            }
        }
        quota.chooseTenants(MIN_PSEUDONYMS);
    }

    private Written write(TraceReader reader, Path to, LongConsumer progress) throws IOException {
        Source first = reader.header().sources().get(0);
        Deployment before = first.deployment();
        // Lists the tenants in the order of their pseudonyms, all with the same rate, since the
        // original order and rates could identify them.
        var byPseudonym = new TreeMap<String, String>();
        quota.named().forEach(name -> byPseudonym.put(pseudonyms.name("customer", name), name));
        byPseudonym.forEach((pseudonym, name) -> named.put(name, new Tenant(pseudonym, 1)));
        pool = new Tenant(POOL, 1);
        var tenants = new ArrayList<>(named.values());
        tenants.add(pool);
        deployment =
                new Deployment(
                        before.gatherers(),
                        pseudonyms.name("zone", before.zone()),
                        before.tickMs(),
                        before.overQuotaPriority(),
                        before.queryClasses(),
                        List.copyOf(tenants),
                        before.layout(),
                        before.limits(),
                        before.slowStart(),
                        before.retryBudget(),
                        before.endpointSubscription());
        double beginMs =
                queriesByCell.keySet().stream()
                        .mapToDouble(cell -> cell.interval() * INTERVAL_MS)
                        .min()
                        .orElse(0);
        // Merges all gatherers into one source, ordered by the fitted clocks, so that nothing
        // distinguishes them.
        source =
                new Source("anonymised", first.build(), 0, beginMs, deployment, ClockFit.REFERENCE);
        var lost = new ArrayList<>(LOST);
        var header = new TraceHeader(List.of(source), reader.header().oneIn(), true, null, lost);

        long written = 0;
        long leftOut = 0;
        long pooled = 0;
        var correlator = new QueryCorrelator();
        var open = new LinkedHashMap<CorrelatedQuery, RecordedQuery>();
        var intervals = new TreeMap<Long, List<RecordedQuery>>();
        long writtenTo = Long.MIN_VALUE;
        try (var writer = new TraceWriter(TraceRepair.createFile(to), header)) {
            long read = 0;
            TraceCursor cursor = reader.all();
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                if (entry instanceof PolicyCall call) {
                    Source origin = reader.header().sources().get(call.source());
                    for (Item item : call.items()) {
                        CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                        if (query == null) {
                            continue;
                        }
                        RecordedQuery recorded =
                                open.computeIfAbsent(
                                        query,
                                        key ->
                                                new RecordedQuery(
                                                        query, new ArrayList<>(), origin.id()));
                        recorded.items.add(
                                new RecordedItem(
                                        Math.max(0, call.nowMs() - query.receivedMs()), item));
                        if (query.ended() && query.pendingAttempts() <= 0) {
                            open.remove(query);
                            long interval = cell(origin, query).interval();
                            if (interval > writtenTo) {
                                intervals
                                        .computeIfAbsent(interval, key -> new ArrayList<>())
                                        .add(recorded);
                            } else {
                                leftOut++;
                            }
                        }
                    }
                }
                // Writes an interval once no client can still be waiting for a query of it.
                double correctedMs =
                        reader.header()
                                .sources()
                                .get(entry.source())
                                .clock()
                                .corrected(entry.nowMs());
                while (!intervals.isEmpty()
                        && correctedMs > (intervals.firstKey() + 1) * INTERVAL_MS + MAX_QUERY_MS) {
                    writtenTo = intervals.firstKey();
                    long[] counts = write(writer, writtenTo, intervals.remove(writtenTo), reader);
                    written += counts[0];
                    leftOut += counts[1];
                    pooled += counts[2];
                }
                if (++read % 65_536 == 0) {
                    progress.accept(read);
                }
            }
            // Leaves out queries that don't end in this file.
            leftOut += open.size();
            for (var interval : intervals.entrySet()) {
                long[] counts = write(writer, interval.getKey(), interval.getValue(), reader);
                written += counts[0];
                leftOut += counts[1];
                pooled += counts[2];
            }
        }
        return new Written(written, leftOut, named.size(), pooled);
    }

    /**
     * Writes the queries of one interval.
     *
     * @return the numbers of queries written, left out and pooled
     */
    private long[] write(
            TraceWriter writer, long interval, List<RecordedQuery> queries, TraceReader reader)
            throws IOException {
        // Sorts by a number that depends only on the key and the query, so that the order doesn't
        // reveal when queries arrived and is the same for the same key.
        record Ranked(long rank, RecordedQuery recorded) {}
        var ranked = new ArrayList<Ranked>();
        for (RecordedQuery recorded : queries) {
            ranked.add(
                    new Ranked(
                            pseudonyms.number(
                                    "rank",
                                    recorded.origin + "|" + recorded.query.received().number()),
                            recorded));
        }
        ranked.sort(Comparator.comparingLong(Ranked::rank));
        Map<PseudonymQuota.Cell, Integer> remaining = new HashMap<>();
        Map<PseudonymQuota.Cell, Integer> totals = new HashMap<>();
        for (Ranked one : ranked) {
            totals.merge(
                    cell(
                            reader.header().sources().get(one.recorded.query.source()),
                            one.recorded.query),
                    1,
                    Integer::sum);
        }
        totals.forEach((cell, count) -> remaining.put(cell, count / COUNT_STEP * COUNT_STEP));
        // Chooses the queries that show a pseudonym first, so that rounding down never drops a
        // query of one pseudonym and none of another.
        Map<String, Integer> shown = new HashMap<>();
        var chosen = new ArrayList<Map.Entry<RecordedQuery, Tenant>>();
        var rest = new ArrayList<RecordedQuery>();
        for (Ranked one : ranked) {
            PseudonymQuota.Cell cell =
                    cell(
                            reader.header().sources().get(one.recorded.query.source()),
                            one.recorded.query);
            var tenant = one.recorded.query.received().tenant();
            boolean fits = remaining.get(cell) >= quota.shown(cell) * named.size();
            if (tenant != null
                    && named.containsKey(tenant.name())
                    && fits
                    && shown.merge(tenant.name() + "|" + cell, 1, Integer::sum)
                            <= quota.shown(cell)) {
                chosen.add(Map.entry(one.recorded, named.get(tenant.name())));
            } else {
                rest.add(one.recorded);
            }
        }
        chosen.forEach(
                one ->
                        remaining.merge(
                                cell(
                                        reader.header().sources().get(one.getKey().query.source()),
                                        one.getKey().query),
                                -1,
                                Integer::sum));
        long pooled = 0;
        for (RecordedQuery recorded : rest) {
            PseudonymQuota.Cell cell =
                    cell(reader.header().sources().get(recorded.query.source()), recorded.query);
            if (remaining.merge(cell, -1, Integer::sum) >= 0) {
                chosen.add(Map.entry(recorded, pool));
                pooled++;
            }
        }
        chosen.sort(
                Comparator.comparingLong(
                        one ->
                                pseudonyms.number(
                                        "place",
                                        one.getKey().origin
                                                + "|"
                                                + one.getKey().query.received().number())));
        var calls = new ArrayList<PolicyCall>();
        for (int i = 0; i < chosen.size(); i++) {
            double startMs = (interval + (double) i / chosen.size()) * INTERVAL_MS;
            calls.addAll(calls(chosen.get(i).getKey(), chosen.get(i).getValue(), startMs));
        }
        calls.sort(
                Comparator.comparingDouble(PolicyCall::nowMs).thenComparingLong(PolicyCall::seq));
        for (PolicyCall call : calls) {
            writer.add(new PolicyCall(0, seq++, call.nowMs(), false, call.total(), call.items()));
        }
        return new long[] {chosen.size(), queries.size() - chosen.size(), pooled};
    }

    private List<PolicyCall> calls(RecordedQuery recorded, Tenant tenant, double startMs) {
        String id =
                pseudonyms.name(
                        "scan",
                        recorded.origin
                                + "|"
                                + recorded.query.received().number()
                                + "|"
                                + recorded.query.received().id());
        long queryNumber = ++number;
        Map<String, String> parts = new HashMap<>();
        var calls = new ArrayList<PolicyCall>();
        var items = new ArrayList<Item>();
        double before = 0;
        long order = queryNumber << 20;
        int partCount =
                (int)
                        recorded.items.stream()
                                .filter(line -> line.item.event() instanceof Event.PartReceived)
                                .count();
        for (RecordedItem line : recorded.items) {
            double after = Math.rint(line.afterMs / DURATION_STEP_MS) * DURATION_STEP_MS;
            if (after != before && !items.isEmpty()) {
                calls.add(call(order++, startMs + before, items));
                items = new ArrayList<>();
            }
            before = Math.max(before, after);
            Item item = item(line.item, id, queryNumber, tenant, parts, partCount, items.size());
            if (item != null) {
                items.add(item);
            }
        }
        if (!items.isEmpty()) {
            calls.add(call(order, startMs + before, items));
        }
        return calls;
    }

    private static PolicyCall call(long order, double nowMs, List<Item> items) {
        return new PolicyCall(0, order, nowMs, false, items.size(), items);
    }

    private Item item(
            Item item,
            String id,
            long queryNumber,
            Tenant tenant,
            Map<String, String> parts,
            int partCount,
            int index) {
        Event event = item.event();
        if (event instanceof Event.QueryReceived received) {
            return new Item(
                    index,
                    new Event.QueryReceived(
                            id,
                            queryNumber,
                            received.queryClass(),
                            tenant,
                            Math.rint(received.timeLeftMs() / 100) * 100),
                    null);
        } else if (event instanceof Event.PartReceived received) {
            int number = parts.size();
            parts.put(received.id(), id + "." + number);
            return new Item(
                    index,
                    new Event.PartReceived(id + "." + number, queryNumber, number, 1.0 / partCount),
                    null);
        } else if (event instanceof Event.AttemptEnded ended) {
            return parts.containsKey(ended.partId())
                    ? new Item(
                            index,
                            new Event.AttemptEnded(
                                    parts.get(ended.partId()),
                                    ended.attemptNumber(),
                                    ended.outcome(),
                                    Math.rint(ended.durationMs() / DURATION_STEP_MS)
                                            * DURATION_STEP_MS,
                                    null),
                            null)
                    : null;
        } else if (event instanceof Event.ClientDisconnected) {
            return new Item(index, new Event.ClientDisconnected(id), null);
        } else if (event != null) {
            return null;
        }
        Command command = item.command();
        if (command instanceof Command.SendAttempt sendAttempt) {
            var skipped =
                    sendAttempt.skipped().stream()
                            .map(
                                    replica ->
                                            new SkippedReplica(
                                                    server(replica.server()), replica.cause()))
                            .toList();
            return parts.containsKey(sendAttempt.partId())
                    ? new Item(
                            index,
                            null,
                            new Command.SendAttempt(
                                    parts.get(sendAttempt.partId()),
                                    server(sendAttempt.server()),
                                    Math.rint(sendAttempt.timeoutMs() / 100) * 100,
                                    sendAttempt.reason(),
                                    sendAttempt.position(),
                                    skipped))
                    : null;
        } else if (command instanceof Command.CancelAttempt cancel) {
            return parts.containsKey(cancel.partId())
                    ? new Item(
                            index,
                            null,
                            new Command.CancelAttempt(
                                    parts.get(cancel.partId()),
                                    cancel.attemptNumber(),
                                    cancel.reason()))
                    : null;
        } else if (command instanceof Command.AnswerQuery answer) {
            return new Item(
                    index, null, new Command.AnswerQuery(id, answer.complete(), answer.reason()));
        } else if (command instanceof Command.RejectQuery rejection) {
            return new Item(
                    index,
                    null,
                    new Command.RejectQuery(id, rejection.retryAfterMs(), rejection.reason()));
        } else if (command instanceof Command.FailQuery failure) {
            return new Item(index, null, new Command.FailQuery(id, failure.reason()));
        }
        return null;
    }

    private String server(String name) {
        return pseudonyms.name("server", name);
    }
}
