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
 * Writes a file anew so that it names and gives away nobody. Twice through the input: once to
 * count, once to write; it holds the queries of one stretch of time.
 */
public final class Anonymiser {
    /** An hour: rhythms of shops lie in hours, so nothing finer may show. */
    public static final double STRETCH_MS = 3_600_000;

    /** With fewer pseudonyms a guess would be right too often. */
    private static final int MIN_PSEUDONYMS = 5;

    /**
     * Counts of queries of a cell are cut down to whole tens: a single shop's comings and goings
     * don't show.
     */
    private static final int COUNT_STEP = 10;

    /** Durations within a query are told to so many milliseconds. */
    private static final double DURATION_STEP_MS = 5;

    /** Longer than any client waits; a query that takes longer is left out. */
    private static final double LONGEST_QUERY_MS = 900_000;

    private static final String POOL = "others";

    /** What can't be told from an anonymised file; it stands in the file's head. */
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
     * @param queries queries written
     * @param leftOut queries left out
     * @param named tenants with a pseudonym of their own
     * @param pooled queries that show the pool
     */
    public record Written(long queries, long leftOut, int named, long pooled) {}

    /** One query with all that befell it, times since it was taken. */
    private record RecordedQuery(CorrelatedQuery query, List<RecordedItem> items, String origin) {}

    private record RecordedItem(double afterMs, Item item) {}

    /**
     * @param key whoever has it can make the pseudonyms again
     * @throws IllegalArgumentException where the key is too short
     */
    public static Written anonymise(TraceReader reader, String key, Path to, LongConsumer progress)
            throws IOException {
        var anonymiser = new Anonymiser(key);
        anonymiser.count(reader, progress);
        return anonymiser.write(reader, to, progress);
    }

    private static PseudonymQuota.Cell cell(Source source, CorrelatedQuery query) {
        long stretch = (long) Math.floor(source.clock().corrected(query.receivedMs()) / STRETCH_MS);
        return new PseudonymQuota.Cell(stretch, query.received().queryClass().name());
    }

    private void count(TraceReader reader, LongConsumer progress) throws IOException {
        var correlator = new QueryCorrelator();
        long read = 0;
        TraceCursor cursor = reader.all();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            if (entry instanceof PolicyCall call) {
                for (Item item : call.items()) {
                    CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                    if (item.event() instanceof Event.QueryReceived taken) {
                        PseudonymQuota.Cell cell =
                                cell(reader.header().sources().get(call.source()), query);
                        queriesByCell.merge(cell, 1, Integer::sum);
                        if (taken.tenant() != null) {
                            quota.count(taken.tenant().name(), cell);
                        }
                    }
                }
            }
            if (++read % 65_536 == 0) {
                progress.accept(read);
            }
        }
        quota.settle(MIN_PSEUDONYMS);
    }

    private Written write(TraceReader reader, Path to, LongConsumer progress) throws IOException {
        Source first = reader.header().sources().get(0);
        Deployment before = first.deployment();
        // In the order of their pseudonyms, all with the same rate: places and rates would tell.
        var byPseudonym = new TreeMap<String, String>();
        quota.named().forEach(name -> byPseudonym.put(pseudonyms.name("customer", name), name));
        byPseudonym.forEach((pseudonym, name) -> named.put(name, new Tenant(pseudonym, 1)));
        pool = new Tenant(POOL, 1);
        var customers = new ArrayList<>(named.values());
        customers.add(pool);
        deployment =
                new Deployment(
                        before.gatherers(),
                        pseudonyms.name("zone", before.zone()),
                        before.tickMs(),
                        before.overQuotaPriority(),
                        before.queryClasses(),
                        List.copyOf(customers),
                        before.layout(),
                        before.limits(),
                        before.slowStart(),
                        before.retryBudget(),
                        before.endpointSubscription());
        double began =
                queriesByCell.keySet().stream()
                        .mapToDouble(cell -> cell.stretch() * STRETCH_MS)
                        .min()
                        .orElse(0);
        // Gatherers are told apart by nothing: together they are one source, ordered by the fitted
        // clocks.
        source = new Source("anonymised", first.build(), 0, began, deployment, ClockFit.REFERENCE);
        var lost = new ArrayList<>(LOST);
        var header = new TraceHeader(List.of(source), reader.header().oneIn(), true, null, lost);

        long written = 0;
        long leftOut = 0;
        long pooled = 0;
        var correlator = new QueryCorrelator();
        var open = new LinkedHashMap<CorrelatedQuery, RecordedQuery>();
        var stretches = new TreeMap<Long, List<RecordedQuery>>();
        long writtenTo = Long.MIN_VALUE;
        try (var writer = new TraceWriter(TraceRepair.create(to), header)) {
            long read = 0;
            TraceCursor cursor = reader.all();
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                if (entry instanceof PolicyCall call) {
                    Source of = reader.header().sources().get(call.source());
                    for (Item item : call.items()) {
                        CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                        if (query == null) {
                            continue;
                        }
                        RecordedQuery recorded =
                                open.computeIfAbsent(
                                        query,
                                        none ->
                                                new RecordedQuery(
                                                        query, new ArrayList<>(), of.id()));
                        recorded.items.add(
                                new RecordedItem(
                                        Math.max(0, call.nowMs() - query.receivedMs()), item));
                        if (query.ended() && query.pendingAttempts() <= 0) {
                            open.remove(query);
                            long stretch = cell(of, query).stretch();
                            if (stretch > writtenTo) {
                                stretches
                                        .computeIfAbsent(stretch, at -> new ArrayList<>())
                                        .add(recorded);
                            } else {
                                leftOut++;
                            }
                        }
                    }
                }
                // A stretch is written once nobody can still be waiting for a query of it.
                double at =
                        reader.header()
                                .sources()
                                .get(entry.source())
                                .clock()
                                .corrected(entry.nowMs());
                while (!stretches.isEmpty()
                        && at > (stretches.firstKey() + 1) * STRETCH_MS + LONGEST_QUERY_MS) {
                    writtenTo = stretches.firstKey();
                    long[] counts = write(writer, writtenTo, stretches.remove(writtenTo), reader);
                    written += counts[0];
                    leftOut += counts[1];
                    pooled += counts[2];
                }
                if (++read % 65_536 == 0) {
                    progress.accept(read);
                }
            }
            // What never ended in this file is left out.
            leftOut += open.size();
            for (var stretch : stretches.entrySet()) {
                long[] counts = write(writer, stretch.getKey(), stretch.getValue(), reader);
                written += counts[0];
                leftOut += counts[1];
                pooled += counts[2];
            }
        }
        return new Written(written, leftOut, named.size(), pooled);
    }

    /** Writes one stretch's queries; returns how many were written, left out, and pooled. */
    private long[] write(
            TraceWriter writer, long stretch, List<RecordedQuery> scans, TraceReader reader)
            throws IOException {
        // An order that says nothing of who came when, and the same for the same key.
        record Ranked(long rank, RecordedQuery whole) {}
        var ranked = new ArrayList<Ranked>();
        for (RecordedQuery recorded : scans) {
            ranked.add(
                    new Ranked(
                            pseudonyms.number(
                                    "rank",
                                    recorded.origin + "|" + recorded.query.received().number()),
                            recorded));
        }
        ranked.sort(Comparator.comparingLong(Ranked::rank));
        Map<PseudonymQuota.Cell, Integer> left = new HashMap<>();
        Map<PseudonymQuota.Cell, Integer> all = new HashMap<>();
        for (Ranked one : ranked) {
            all.merge(
                    cell(reader.header().sources().get(one.whole.query.source()), one.whole.query),
                    1,
                    Integer::sum);
        }
        all.forEach((cell, count) -> left.put(cell, count / COUNT_STEP * COUNT_STEP));
        // Shown pseudonyms first, so that the grain never takes one of theirs and not another's.
        Map<String, Integer> shown = new HashMap<>();
        var chosen = new ArrayList<Map.Entry<RecordedQuery, Tenant>>();
        var rest = new ArrayList<RecordedQuery>();
        for (Ranked one : ranked) {
            PseudonymQuota.Cell cell =
                    cell(reader.header().sources().get(one.whole.query.source()), one.whole.query);
            var tenant = one.whole.query.received().tenant();
            boolean fits = left.get(cell) >= quota.shown(cell) * named.size();
            if (tenant != null
                    && named.containsKey(tenant.name())
                    && fits
                    && shown.merge(tenant.name() + "|" + cell, 1, Integer::sum)
                            <= quota.shown(cell)) {
                chosen.add(Map.entry(one.whole, named.get(tenant.name())));
            } else {
                rest.add(one.whole);
            }
        }
        chosen.forEach(
                one ->
                        left.merge(
                                cell(
                                        reader.header().sources().get(one.getKey().query.source()),
                                        one.getKey().query),
                                -1,
                                Integer::sum));
        long pooled = 0;
        for (RecordedQuery recorded : rest) {
            PseudonymQuota.Cell cell =
                    cell(reader.header().sources().get(recorded.query.source()), recorded.query);
            if (left.merge(cell, -1, Integer::sum) >= 0) {
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
        var moments = new ArrayList<PolicyCall>();
        for (int i = 0; i < chosen.size(); i++) {
            double at = (stretch + (double) i / chosen.size()) * STRETCH_MS;
            moments.addAll(calls(chosen.get(i).getKey(), chosen.get(i).getValue(), at));
        }
        moments.sort(
                Comparator.comparingDouble(PolicyCall::nowMs).thenComparingLong(PolicyCall::seq));
        for (PolicyCall call : moments) {
            writer.add(new PolicyCall(0, seq++, call.nowMs(), false, call.total(), call.items()));
        }
        return new long[] {chosen.size(), scans.size() - chosen.size(), pooled};
    }

    private List<PolicyCall> calls(RecordedQuery recorded, Tenant tenant, double at) {
        String id =
                pseudonyms.name(
                        "scan",
                        recorded.origin
                                + "|"
                                + recorded.query.received().number()
                                + "|"
                                + recorded.query.received().id());
        long own = ++number;
        Map<String, String> parts = new HashMap<>();
        var moments = new ArrayList<PolicyCall>();
        var items = new ArrayList<Item>();
        double before = 0;
        long order = own << 20;
        int partCount =
                (int)
                        recorded.items.stream()
                                .filter(line -> line.item.event() instanceof Event.PartReceived)
                                .count();
        for (RecordedItem line : recorded.items) {
            double after = Math.rint(line.afterMs / DURATION_STEP_MS) * DURATION_STEP_MS;
            if (after != before && !items.isEmpty()) {
                moments.add(call(order++, at + before, items));
                items = new ArrayList<>();
            }
            before = Math.max(before, after);
            Item item = item(line.item, id, own, tenant, parts, partCount, items.size());
            if (item != null) {
                items.add(item);
            }
        }
        if (!items.isEmpty()) {
            moments.add(call(order, at + before, items));
        }
        return moments;
    }

    private static PolicyCall call(long order, double at, List<Item> items) {
        return new PolicyCall(0, order, at, false, items.size(), items);
    }

    private Item item(
            Item item,
            String id,
            long own,
            Tenant tenant,
            Map<String, String> parts,
            int partCount,
            int index) {
        Event event = item.event();
        if (event instanceof Event.QueryReceived taken) {
            return new Item(
                    index,
                    new Event.QueryReceived(
                            id,
                            own,
                            taken.queryClass(),
                            tenant,
                            Math.rint(taken.timeLeftMs() / 100) * 100),
                    null);
        } else if (event instanceof Event.PartReceived taken) {
            int number = parts.size();
            parts.put(taken.id(), id + "." + number);
            return new Item(
                    index,
                    new Event.PartReceived(id + "." + number, own, number, 1.0 / partCount),
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
            var passed =
                    sendAttempt.skipped().stream()
                            .map(over -> new SkippedReplica(server(over.server()), over.cause()))
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
                                    passed))
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
