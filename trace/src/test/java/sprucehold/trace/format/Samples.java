package sprucehold.trace.format;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import sprucehold.port.Action;
import sprucehold.port.Bound;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.Listing;
import sprucehold.port.LoadReport;
import sprucehold.port.Others;
import sprucehold.port.PassedOver;
import sprucehold.port.Reason;
import sprucehold.port.TableType;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Head;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;
import sprucehold.trace.event.Source;

/** Heads and entries of every kind, from a seed. */
public final class Samples {
    public static final TableType TYPE =
            new TableType("offers", TableType.Repeat.REPLAYABLE, 1200, 2, 0.3, 0, 0.75, 0.75, 0);
    public static final TableType ONCE =
            new TableType("stamps", TableType.Repeat.NON_REPLAYABLE, 800, 1, 0.3, 0, 1, 1, 0);
    public static final Customer CUSTOMER = new Customer("acme", 12.5);
    public static final Deployment FACTS =
            new Deployment(
                    2,
                    "a",
                    5,
                    0.2,
                    List.of(TYPE, ONCE),
                    List.of(CUSTOMER),
                    new Deployment.Layout(2, 1, 1),
                    new Deployment.Limits(4, 200, true, true, 1000),
                    new Deployment.ColdRule(0.2, 15_000, 4, 1000),
                    Deployment.DispatchBudget.NONE,
                    new Deployment.ListAccess(false, 10_000));
    public static final double BEGIN = 1_767_225_600_000.0;

    private Samples() {}

    public static Source source(String gatherer) {
        return new Source(gatherer, "test", 0x8c1f30d27a5be964L, BEGIN, FACTS, ClockFit.REFERENCE);
    }

    /**
     * One scan a moment, the next moment its end; with news, gaps and every other kind among them.
     */
    static List<Entry> entries(long seed, int scans) {
        var random = new Random(seed);
        var entries = new ArrayList<Entry>();
        long seq = 0;
        double now = BEGIN;
        for (int i = 0; i < scans; i++) {
            // The clock steps back now and then.
            now += i % 17 == 16 ? -500 : random.nextInt(1000) + random.nextDouble();
            String id = String.format("%016x", random.nextLong());
            List<Event> taken =
                    List.of(
                            new Event.ScanTaken(
                                    id,
                                    i + 1,
                                    i % 3 == 0 ? ONCE : TYPE,
                                    i % 2 == 0 ? CUSTOMER : null,
                                    480),
                            new Event.PartTaken(id + ".3", i + 1, 3, 0.5),
                            new Event.PartTaken(id + ".9", i + 1, 9, 0.5));
            List<Action> sent =
                    List.of(
                            new Action.Dispatch(
                                    id + ".3",
                                    "s-" + i % 5,
                                    470.25,
                                    Reason.FIRST_ROUND,
                                    1,
                                    List.of(new PassedOver("s-7", PassedOver.Cause.COLD_BUDGET))),
                            new Action.Dispatch(id + ".9", "s-8", 470.25),
                            new Action.Wake(12.5),
                            new Action.Probe("s-1"),
                            new Action.FollowList(Reason.LIST_FAILED),
                            new Action.Note("näher"));
            entries.add(Moment.of(0, seq++, now, taken, sent, false));
            if (i % 11 == 5) {
                entries.add(new Gap(0, seq, now + 1, 3, now + 2));
                seq += 3;
            }
            List<Event> ends =
                    List.of(
                            new Event.DispatchEnded(
                                    id + ".3",
                                    0,
                                    Ending.values()[i % 8],
                                    random.nextDouble() * 100,
                                    new LoadReport(3, Double.NaN, 0.61)),
                            new Event.DispatchEnded(id + ".9", 0, Ending.COMPLETED, 3, null),
                            new Event.Woken(),
                            new Event.ListUnavailable(),
                            new Event.ProbeEnded("s-1", Ending.FULL, 1, null),
                            new Event.ListReceived(
                                    i % 2 == 0,
                                    List.of(
                                            new Listing(
                                                    "s-" + i % 5,
                                                    1,
                                                    "a",
                                                    0,
                                                    Listing.Mode.values()[i % 3]))));
            Action end =
                    switch (i % 4) {
                        case 0 -> new Action.Answer(id, true, Reason.WHOLE);
                        case 1 -> new Action.Throttle(id, 250, Reason.NO_ROOM);
                        case 2 -> new Action.Abandon(id, Reason.TIME_OVER);
                        default -> new Action.Answer(id, false, Reason.TARGET_TIME);
                    };
            Moment moment =
                    Moment.of(
                            0,
                            seq++,
                            now + 40.125,
                            ends,
                            List.of(new Action.Cancel(id + ".9", 0, Reason.PART_COMPLETED), end),
                            false);
            // Some were cut, and some calls failed.
            entries.add(
                    i % 13 == 7
                            ? moment.withItems(
                                    List.of(moment.items().get(1), moment.items().get(7)))
                            : moment);
            if (i % 19 == 3) {
                entries.add(
                        Moment.of(
                                0,
                                seq++,
                                now + 41,
                                List.of(new Event.ClientLeft(id)),
                                List.of(),
                                true));
            }
        }
        return entries;
    }

    /** The same, and each kind that version 1.1 added. */
    static List<Entry> entriesOfOneOne(long seed, int scans) {
        var entries = new ArrayList<>(entries(seed, scans));
        double now = BEGIN + 1e6;
        for (Others others :
                List.of(
                        Others.NONE,
                        new Others(
                                7,
                                Map.of(
                                        Bound.FURTHER,
                                        0,
                                        Bound.cold("s-1"),
                                        300,
                                        Bound.customer("acme"),
                                        7),
                                Map.of("s-3", 0.7, "s-1", 1.0)))) {
            entries.add(
                    Moment.of(
                            0,
                            entries.size() + 100,
                            now++,
                            List.of(new Event.OthersTold(others)),
                            List.of(
                                    new Action.Use(Bound.cold("s-1"), 12),
                                    new Action.Use(Bound.FURTHER, 1)),
                            false));
        }
        return entries;
    }

    static byte[] bytes(Head head, List<Entry> entries, boolean deflate) throws IOException {
        var out = new ByteArrayOutputStream();
        try (var writer = new TraceWriter(out, head, deflate)) {
            for (Entry entry : entries) {
                writer.add(entry);
                // Small blocks, so that a small file has several.
                if (writer.inBlock() >= 7) {
                    writer.flush();
                }
            }
        }
        return out.toByteArray();
    }

    static Path file(byte[] bytes) throws IOException {
        Path file = Files.createTempFile("sample", ".trace");
        file.toFile().deleteOnExit();
        return Files.write(file, bytes);
    }

    /** All that can be read. */
    public static List<Entry> read(Path file) throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            return all(reader.all());
        }
    }

    static List<Entry> all(TraceReader.Cursor cursor) throws IOException {
        var entries = new ArrayList<Entry>();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            entries.add(entry);
        }
        return entries;
    }

    static boolean mentions(Moment moment, String text) {
        return moment.items().stream().map(Item::toString).anyMatch(item -> item.contains(text));
    }
}
