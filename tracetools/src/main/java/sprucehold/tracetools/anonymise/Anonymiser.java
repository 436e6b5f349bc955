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
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.book.ScanBook;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Head;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;
import sprucehold.trace.event.Source;
import sprucehold.trace.format.TraceReader;
import sprucehold.trace.format.TraceRepair;
import sprucehold.trace.format.TraceWriter;

/**
 * Writes a file anew so that it names and gives away nobody. Twice through the input: once to
 * count, once to write; it holds the scans of one stretch of time.
 */
public final class Anonymiser {
    /** An hour: rhythms of shops lie in hours, so nothing finer may show. */
    public static final double STRETCH_MS = 3_600_000;

    /** With fewer pseudonyms a guess would be right too often. */
    private static final int LEAST_NAMED = 5;

    /**
     * Counts of scans of a cell are cut down to whole tens: a single shop's comings and goings
     * don't show.
     */
    private static final int GRAIN = 10;

    /** Durations within a scan are told to so many milliseconds. */
    private static final double STEP_MS = 5;

    /** Longer than any client waits; a scan that takes longer is left out. */
    private static final double LONGEST_SCAN_MS = 900_000;

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
                            + (int) STEP_MS
                            + " ms, clients' patience to 100 ms, weights to equal ones");

    private final Pseudonyms pseudonyms;
    private final EvenShares shares = new EvenShares();
    private final Map<EvenShares.Cell, Integer> scansOf = new HashMap<>();
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
     * @param scans scans written
     * @param leftOut scans left out
     * @param named customers with a pseudonym of their own
     * @param pooled scans that show the pool
     */
    public record Written(long scans, long leftOut, int named, long pooled) {}

    /** One scan with all that befell it, times since it was taken. */
    private record Whole(BookedScan scan, List<Line> lines, String origin) {}

    private record Line(double afterMs, Item item) {}

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

    private static EvenShares.Cell cell(Source source, BookedScan scan) {
        long stretch = (long) Math.floor(source.clock().corrected(scan.takenMs()) / STRETCH_MS);
        return new EvenShares.Cell(stretch, scan.taken().queryClass().name());
    }

    private void count(TraceReader reader, LongConsumer progress) throws IOException {
        var book = new ScanBook();
        long read = 0;
        TraceReader.Cursor cursor = reader.all();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            if (entry instanceof Moment moment) {
                for (Item item : moment.items()) {
                    BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
                    if (item.event() instanceof Event.QueryReceived taken) {
                        EvenShares.Cell cell =
                                cell(reader.head().sources().get(moment.source()), scan);
                        scansOf.merge(cell, 1, Integer::sum);
                        if (taken.tenant() != null) {
                            shares.count(taken.tenant().name(), cell);
                        }
                    }
                }
            }
            if (++read % 65_536 == 0) {
                progress.accept(read);
            }
        }
        shares.settle(LEAST_NAMED);
    }

    private Written write(TraceReader reader, Path to, LongConsumer progress) throws IOException {
        Source first = reader.head().sources().get(0);
        Deployment before = first.facts();
        // In the order of their pseudonyms, all with the same rate: places and rates would tell.
        var byPseudonym = new TreeMap<String, String>();
        shares.named().forEach(name -> byPseudonym.put(pseudonyms.name("customer", name), name));
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
                scansOf.keySet().stream()
                        .mapToDouble(cell -> cell.stretch() * STRETCH_MS)
                        .min()
                        .orElse(0);
        // Gatherers are told apart by nothing: together they are one source, ordered by the fitted
        // clocks.
        source = new Source("anonymised", first.build(), 0, began, deployment, ClockFit.REFERENCE);
        var lost = new ArrayList<>(LOST);
        var head = new Head(List.of(source), reader.head().oneIn(), true, null, lost);

        long written = 0;
        long leftOut = 0;
        long pooled = 0;
        var book = new ScanBook();
        var open = new LinkedHashMap<BookedScan, Whole>();
        var stretches = new TreeMap<Long, List<Whole>>();
        long writtenTo = Long.MIN_VALUE;
        try (var writer = new TraceWriter(TraceRepair.create(to), head)) {
            long read = 0;
            TraceReader.Cursor cursor = reader.all();
            for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
                if (entry instanceof Moment moment) {
                    Source of = reader.head().sources().get(moment.source());
                    for (Item item : moment.items()) {
                        BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
                        if (scan == null) {
                            continue;
                        }
                        Whole whole =
                                open.computeIfAbsent(
                                        scan, none -> new Whole(scan, new ArrayList<>(), of.id()));
                        whole.lines.add(
                                new Line(Math.max(0, moment.nowMs() - scan.takenMs()), item));
                        if (scan.ended() && scan.out() <= 0) {
                            open.remove(scan);
                            long stretch = cell(of, scan).stretch();
                            if (stretch > writtenTo) {
                                stretches
                                        .computeIfAbsent(stretch, at -> new ArrayList<>())
                                        .add(whole);
                            } else {
                                leftOut++;
                            }
                        }
                    }
                }
                // A stretch is written once nobody can still be waiting for a scan of it.
                double at =
                        reader.head()
                                .sources()
                                .get(entry.source())
                                .clock()
                                .corrected(entry.nowMs());
                while (!stretches.isEmpty()
                        && at > (stretches.firstKey() + 1) * STRETCH_MS + LONGEST_SCAN_MS) {
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

    /** Writes one stretch's scans; returns how many were written, left out, and pooled. */
    private long[] write(TraceWriter writer, long stretch, List<Whole> scans, TraceReader reader)
            throws IOException {
        // An order that says nothing of who came when, and the same for the same key.
        record Ranked(long rank, Whole whole) {}
        var ranked = new ArrayList<Ranked>();
        for (Whole whole : scans) {
            ranked.add(
                    new Ranked(
                            pseudonyms.number(
                                    "rank", whole.origin + "|" + whole.scan.taken().number()),
                            whole));
        }
        ranked.sort(Comparator.comparingLong(Ranked::rank));
        Map<EvenShares.Cell, Integer> left = new HashMap<>();
        Map<EvenShares.Cell, Integer> all = new HashMap<>();
        for (Ranked one : ranked) {
            all.merge(
                    cell(reader.head().sources().get(one.whole.scan.source()), one.whole.scan),
                    1,
                    Integer::sum);
        }
        all.forEach((cell, count) -> left.put(cell, count / GRAIN * GRAIN));
        // Shown pseudonyms first, so that the grain never takes one of theirs and not another's.
        Map<String, Integer> shown = new HashMap<>();
        var chosen = new ArrayList<Map.Entry<Whole, Tenant>>();
        var rest = new ArrayList<Whole>();
        for (Ranked one : ranked) {
            EvenShares.Cell cell =
                    cell(reader.head().sources().get(one.whole.scan.source()), one.whole.scan);
            var tenant = one.whole.scan.taken().tenant();
            boolean fits = left.get(cell) >= shares.shown(cell) * named.size();
            if (tenant != null
                    && named.containsKey(tenant.name())
                    && fits
                    && shown.merge(tenant.name() + "|" + cell, 1, Integer::sum)
                            <= shares.shown(cell)) {
                chosen.add(Map.entry(one.whole, named.get(tenant.name())));
            } else {
                rest.add(one.whole);
            }
        }
        chosen.forEach(
                one ->
                        left.merge(
                                cell(
                                        reader.head().sources().get(one.getKey().scan.source()),
                                        one.getKey().scan),
                                -1,
                                Integer::sum));
        long pooled = 0;
        for (Whole whole : rest) {
            EvenShares.Cell cell =
                    cell(reader.head().sources().get(whole.scan.source()), whole.scan);
            if (left.merge(cell, -1, Integer::sum) >= 0) {
                chosen.add(Map.entry(whole, pool));
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
                                                + one.getKey().scan.taken().number())));
        var moments = new ArrayList<Moment>();
        for (int i = 0; i < chosen.size(); i++) {
            double at = (stretch + (double) i / chosen.size()) * STRETCH_MS;
            moments.addAll(moments(chosen.get(i).getKey(), chosen.get(i).getValue(), at));
        }
        moments.sort(Comparator.comparingDouble(Moment::nowMs).thenComparingLong(Moment::seq));
        for (Moment moment : moments) {
            writer.add(new Moment(0, seq++, moment.nowMs(), false, moment.total(), moment.items()));
        }
        return new long[] {chosen.size(), scans.size() - chosen.size(), pooled};
    }

    private List<Moment> moments(Whole whole, Tenant tenant, double at) {
        String id =
                pseudonyms.name(
                        "scan",
                        whole.origin
                                + "|"
                                + whole.scan.taken().number()
                                + "|"
                                + whole.scan.taken().id());
        long own = ++number;
        Map<String, String> parts = new HashMap<>();
        var moments = new ArrayList<Moment>();
        var items = new ArrayList<Item>();
        double before = 0;
        long order = own << 20;
        int partCount =
                (int)
                        whole.lines.stream()
                                .filter(line -> line.item.event() instanceof Event.PartReceived)
                                .count();
        for (Line line : whole.lines) {
            double after = Math.rint(line.afterMs / STEP_MS) * STEP_MS;
            if (after != before && !items.isEmpty()) {
                moments.add(moment(order++, at + before, items));
                items = new ArrayList<>();
            }
            before = Math.max(before, after);
            Item item = item(line.item, id, own, tenant, parts, partCount, items.size());
            if (item != null) {
                items.add(item);
            }
        }
        if (!items.isEmpty()) {
            moments.add(moment(order, at + before, items));
        }
        return moments;
    }

    private static Moment moment(long order, double at, List<Item> items) {
        return new Moment(0, order, at, false, items.size(), items);
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
                                    Math.rint(ended.durationMs() / STEP_MS) * STEP_MS,
                                    null),
                            null)
                    : null;
        } else if (event instanceof Event.ClientDisconnected) {
            return new Item(index, new Event.ClientDisconnected(id), null);
        } else if (event != null) {
            return null;
        }
        Command command = item.action();
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
        } else if (command instanceof Command.RejectQuery throttle) {
            return new Item(
                    index,
                    null,
                    new Command.RejectQuery(id, throttle.retryAfterMs(), throttle.reason()));
        } else if (command instanceof Command.FailQuery abandon) {
            return new Item(index, null, new Command.FailQuery(id, abandon.reason()));
        }
        return null;
    }

    private String server(String name) {
        return pseudonyms.name("server", name);
    }
}
