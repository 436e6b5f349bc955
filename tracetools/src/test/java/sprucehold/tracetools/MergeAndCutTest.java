package sprucehold.tracetools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.policy.QueryScheduler;
import sprucehold.trace.correlation.CorrelatedQuery;
import sprucehold.trace.correlation.QueryCorrelator;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.cut.TraceCut;
import sprucehold.tracetools.merge.TraceMerge;
import sprucehold.tracetools.synthetic.SyntheticDay;

public class MergeAndCutTest {
    private Path folder;
    private List<Path> files;
    private Path merged;

    @BeforeClass
    public void simulateDay() throws IOException {
        folder = DayFiles.createFolder();
        files = DayFiles.simulate(folder, DayFiles.standardPlan(1500, 11));
        merged = merge("merged", files);
    }

    private Path merge(String name, List<Path> inputs) throws IOException {
        Path to = folder.resolve(name + ".trace");
        TraceMerge.merge(inputs, to, count -> {});
        return to;
    }

    private List<Path> cut(Path file, double from, double to, int pieces) throws IOException {
        var cut = new ArrayList<Path>();
        try (TraceReader reader = TraceReader.open(file)) {
            for (int i = 0; i < pieces; i++) {
                Path piece = folder.resolve("piece-" + i + ".trace");
                TraceCut.cut(
                        reader,
                        new TraceHeader.Window(
                                from + (to - from) * i / pieces,
                                from + (to - from) * (i + 1) / pieces),
                        piece,
                        count -> {});
                cut.add(piece);
            }
        }
        return cut;
    }

    @Test
    public void mergeOfAllPiecesOfACutFileEqualsTheOriginal() throws IOException {
        double from = SyntheticDay.BEGIN_MS - 60_000;
        List<Path> pieces = cut(merged, from, from + 3 * 3_600_000, 24);
        Collections.shuffle(pieces, new Random(3));
        assertEquals(DayFiles.read(merge("back", pieces)), DayFiles.read(merged));
    }

    @Test
    public void mergeIsIndependentOfInputOrderAndRepetition() throws IOException {
        var reversed = new ArrayList<>(files);
        Collections.reverse(reversed);
        assertEquals(Files.readAllBytes(merge("turned", reversed)), Files.readAllBytes(merged));
        assertEquals(
                Files.readAllBytes(merge("twice", List.of(merged))), Files.readAllBytes(merged));
        assertEquals(
                Files.readAllBytes(merge("again", List.of(files.get(1), merged, files.get(0)))),
                Files.readAllBytes(merged));
    }

    @Test
    public void mergeKeepsTheOrderOfEachSource() throws IOException {
        Map<Integer, List<Entry>> bySource = new HashMap<>();
        DayFiles.read(merged)
                .forEach(
                        entry ->
                                bySource.computeIfAbsent(entry.source(), s -> new ArrayList<>())
                                        .add(entry.withSource(0)));
        try (TraceReader reader = TraceReader.open(merged)) {
            for (int i = 0; i < 3; i++) {
                String gatherer = reader.header().sources().get(i).gatherer();
                assertEquals(bySource.get(i), DayFiles.read(folder.resolve(gatherer + ".trace")));
            }
        }
    }

    @Test
    public void cutWritesEachQueryCompletelyAndToOnePieceOnly() throws IOException {
        Map<String, Integer> complete = itemsByQuery(merged);
        int spanningPieces = 0;
        for (double cutTime : cutTimes()) {
            List<Path> pieces = cut(merged, cutTime - 5000, cutTime + 5000, 2);
            Map<String, Integer> before = itemsByQuery(pieces.get(0));
            Map<String, Integer> after = itemsByQuery(pieces.get(1));
            assertTrue(Collections.disjoint(before.keySet(), after.keySet()));
            before.forEach((query, items) -> assertEquals(items, complete.get(query), query));
            after.forEach((query, items) -> assertEquals(items, complete.get(query), query));
            for (Path piece : pieces) {
                try (TraceReader reader = TraceReader.open(piece)) {
                    assertTrue(reader.verify().valid());
                }
            }
            try (TraceReader reader = TraceReader.open(pieces.get(0))) {
                spanningPieces +=
                        DayFiles.readAll(reader.all()).stream()
                                        .anyMatch(
                                                entry ->
                                                        reader.header()
                                                                        .sources()
                                                                        .get(entry.source())
                                                                        .clock()
                                                                        .corrected(entry.nowMs())
                                                                > cutTime)
                                ? 1
                                : 0;
            }
        }
        assertEquals(spanningPieces, 12);
    }

    /** Returns 12 times, each 2 ms after the receipt of a query. */
    private List<Double> cutTimes() throws IOException {
        var times = new ArrayList<Double>();
        try (TraceReader reader = TraceReader.open(merged)) {
            for (Entry entry : DayFiles.readAll(reader.all())) {
                boolean received =
                        entry instanceof PolicyCall call
                                && call.items().stream()
                                        .anyMatch(
                                                item ->
                                                        item.event()
                                                                instanceof Event.QueryReceived);
                double at =
                        reader.header()
                                        .sources()
                                        .get(entry.source())
                                        .clock()
                                        .corrected(entry.nowMs())
                                + 2;
                if (received
                        && times.size() < 12
                        && (times.isEmpty() || at > times.get(times.size() - 1) + 100_000)) {
                    times.add(at);
                }
            }
        }
        return times;
    }

    private static Map<String, Integer> itemsByQuery(Path file) throws IOException {
        var correlator = new QueryCorrelator();
        Map<String, Integer> items = new HashMap<>();
        for (Entry entry : DayFiles.read(file)) {
            if (entry instanceof PolicyCall call) {
                for (Item item : call.items()) {
                    CorrelatedQuery query = correlator.add(call.source(), call.nowMs(), item);
                    if (query != null) {
                        items.merge(
                                query.received().id()
                                        + "#"
                                        + query.received().number()
                                        + "@"
                                        + query.source(),
                                1,
                                Integer::sum);
                    }
                }
            }
        }
        return items;
    }

    @Test
    public void fittedClocksAreWithinTheirErrorOfTheTrueOffsets() throws IOException {
        for (long seed = 1; seed <= 6; seed++) {
            var day = new SyntheticDay(DayFiles.standardPlan(50, seed), QueryScheduler::new);
            Path dayFolder = DayFiles.createFolder();
            List<Source> fitted =
                    TraceMerge.merge(
                                    DayFiles.simulate(dayFolder, DayFiles.standardPlan(50, seed)),
                                    dayFolder.resolve("m.trace"),
                                    count -> {})
                            .sources();
            double middle = SyntheticDay.BEGIN_MS + 3_600_000;
            int reference = reference(fitted);
            for (int i = 0; i < 3; i++) {
                double ahead = day.clockOffsetMs(i, middle) - day.clockOffsetMs(reference, middle);
                double own = middle + day.clockOffsetMs(i, middle);
                double off = Math.abs(fitted.get(i).clock().corrected(own) - (own - ahead));
                assertTrue(
                        off <= Math.max(1e-3, fitted.get(i).clock().errorMs()),
                        "seed "
                                + seed
                                + ", g"
                                + i
                                + ": off by "
                                + off
                                + " of "
                                + fitted.get(i).clock());
                assertTrue(fitted.get(i).clock().errorMs() < 300, fitted.get(i).clock().toString());
            }
        }
    }

    private static int reference(List<Source> sources) {
        for (int i = 0; i < sources.size(); i++) {
            if (sources.get(i).clock().equals(ClockFit.REFERENCE)) {
                return i;
            }
        }
        throw new AssertionError("no reference");
    }

    /** The query is rejected by g0 and sent again to g1, whose clock is four seconds behind. */
    @Test
    public void queryResentToAGathererFourSecondsBehindIsOrderedAfterTheFirst() throws IOException {
        Source g0 = source("g0", 0);
        Source g1 = source("g1", -4000);
        var at0 = new ArrayList<Entry>();
        var at1 = new ArrayList<Entry>();
        double t = SyntheticDay.BEGIN_MS;
        for (int i = 0; i < 12; i++) {
            Event list =
                    new Event.EndpointsUpdated(
                            false,
                            List.of(new Endpoint("s-" + i, 0, "a", 0, Endpoint.State.DRAINING)));
            at0.add(
                    PolicyCall.of(
                            0, at0.size(), t + 100_000 * i + 30, List.of(list), List.of(), false));
            at1.add(
                    PolicyCall.of(
                            0,
                            at1.size(),
                            t + 100_000 * i + 50 - 4000,
                            List.of(list),
                            List.of(),
                            false));
        }
        double asked = t + 1_200_000;
        at0.add(
                queryCall(
                        at0.size(),
                        "first",
                        asked,
                        new Command.RejectQuery("first", 1000, Reason.NO_CAPACITY)));
        at1.add(
                queryCall(
                        at1.size(),
                        "again",
                        asked + 1100 - 4000,
                        new Command.AnswerQuery("again", true, Reason.COMPLETE)));
        Path to =
                merge(
                        "asked-again",
                        List.of(
                                DayFiles.write(folder.resolve("a1.trace"), TraceHeader.of(g1), at1),
                                DayFiles.write(
                                        folder.resolve("a0.trace"), TraceHeader.of(g0), at0)));
        List<String> order = new ArrayList<>();
        for (Entry entry : DayFiles.read(to)) {
            ((PolicyCall) entry)
                    .items()
                    .forEach(
                            item -> {
                                if (item.event() instanceof Event.QueryReceived received) {
                                    order.add(received.id());
                                }
                            });
        }
        assertEquals(order, List.of("first", "again"));
    }

    private Source source(String name, double started) throws IOException {
        try (TraceReader reader = TraceReader.open(files.get(0))) {
            Source base = reader.header().sources().get(0);
            return new Source(
                    name,
                    "test",
                    1,
                    SyntheticDay.BEGIN_MS + started,
                    base.deployment(),
                    ClockFit.REFERENCE);
        }
    }

    private PolicyCall queryCall(long seq, String id, double now, Command end) throws IOException {
        return PolicyCall.of(
                0,
                seq,
                now,
                List.of(
                        new Event.QueryReceived(
                                id,
                                seq,
                                source("x", 0).deployment().queryClasses().get(0),
                                null,
                                3000)),
                List.of(end),
                false);
    }

    @Test
    public void mergeKeepsTheOrderOfASourceWhoseClockStepsBack() throws IOException {
        var entries = new ArrayList<Entry>();
        for (int i = 0; i < 10; i++) {
            double now = SyntheticDay.BEGIN_MS + (i < 5 ? 10_000 + i : i);
            entries.add(
                    queryCall(
                            i,
                            "s" + i,
                            now,
                            new Command.AnswerQuery("s" + i, true, Reason.COMPLETE)));
        }
        entries.add(new Gap(0, 10, SyntheticDay.BEGIN_MS + 20, 5, SyntheticDay.BEGIN_MS + 30));
        Path file =
                DayFiles.write(
                        folder.resolve("back.trace"), TraceHeader.of(source("g9", 7)), entries);
        List<Entry> mergedEntries = DayFiles.read(merge("stepped", List.of(files.get(0), file)));
        try (TraceReader reader = TraceReader.open(folder.resolve("stepped.trace"))) {
            assertTrue(reader.verify().valid());
            // The sources share no endpoint change, so one clock is marked as unknown.
            assertTrue(
                    reader.header().sources().stream()
                            .anyMatch(source -> source.clock().equals(ClockFit.UNKNOWN)));
            int sourceIndex = reader.header().sources().get(0).gatherer().equals("g9") ? 0 : 1;
            assertEquals(
                    mergedEntries.stream()
                            .filter(entry -> entry.source() == sourceIndex)
                            .map(entry -> entry.withSource(0))
                            .toList(),
                    entries);
        }
    }

    @Test
    public void mergeRejectsInputsWithDifferentContentsForTheSameCall() throws IOException {
        List<Entry> entries = DayFiles.read(files.get(0));
        PolicyCall first = (PolicyCall) entries.get(0);
        entries.set(
                0, new PolicyCall(0, 0, first.nowMs() + 1, false, first.total(), first.items()));
        Path other;
        try (TraceReader reader = TraceReader.open(files.get(0))) {
            other = DayFiles.write(folder.resolve("other.trace"), reader.header(), entries);
        }
        assertThrows(IOException.class, () -> merge("refused", List.of(files.get(0), other)));
    }
}
