package sprucehold.trace.format;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.LoadReport;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.SkippedReplica;
import sprucehold.decision.Tenant;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;

/** Creates headers, and entries of every kind from a seed. */
public final class Samples {
    public static final QueryClass IDEMPOTENT_CLASS =
            new QueryClass(
                    "offers", QueryClass.Idempotence.IDEMPOTENT, 1200, 2, 0.3, 0, 0.75, 0.75, 0);
    public static final QueryClass NON_IDEMPOTENT_CLASS =
            new QueryClass(
                    "stamps", QueryClass.Idempotence.NON_IDEMPOTENT, 800, 1, 0.3, 0, 1, 1, 0);
    public static final Tenant TENANT = new Tenant("acme", 12.5);
    public static final Deployment DEPLOYMENT =
            new Deployment(
                    2,
                    "a",
                    5,
                    0.2,
                    List.of(IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS),
                    List.of(TENANT),
                    new Deployment.ShardLayout(2, 1, 1),
                    new Deployment.Limits(4, 200, true, true, 1000),
                    new Deployment.SlowStartRule(0.2, 15_000, 4, 1000),
                    Deployment.RetryBudget.NONE,
                    new Deployment.EndpointSubscription(false, 10_000));
    public static final double START_MS = 1_767_225_600_000.0;

    private static final List<AttemptOutcome> OUTCOMES = List.of(AttemptOutcome.values());
    private static final List<Endpoint.State> STATES = List.of(Endpoint.State.values());

    private Samples() {}

    public static Source source(String gatherer) {
        return new Source(
                gatherer, "test", 0x8c1f30d27a5be964L, START_MS, DEPLOYMENT, ClockFit.REFERENCE);
    }

    /**
     * Creates, for each query, one policy call in which it is received and one in which it ends,
     * with gaps and with items of the other kinds of version 1.0.
     */
    static List<Entry> entries(long seed, int queries) {
        var random = new Random(seed);
        var entries = new ArrayList<Entry>();
        long seq = 0;
        double now = START_MS;
        for (int i = 0; i < queries; i++) {
            // The clock steps back at every 17th query.
            now += i % 17 == 16 ? -500 : random.nextInt(1000) + random.nextDouble();
            String id = String.format("%016x", random.nextLong());
            List<Event> received =
                    List.of(
                            new Event.QueryReceived(
                                    id,
                                    i + 1,
                                    i % 3 == 0 ? NON_IDEMPOTENT_CLASS : IDEMPOTENT_CLASS,
                                    i % 2 == 0 ? TENANT : null,
                                    480),
                            new Event.PartReceived(id + ".3", i + 1, 3, 0.5),
                            new Event.PartReceived(id + ".9", i + 1, 9, 0.5));
            List<Command> sent =
                    List.of(
                            new Command.SendAttempt(
                                    id + ".3",
                                    "s-" + i % 5,
                                    470.25,
                                    Reason.FIRST_ROUND,
                                    1,
                                    List.of(
                                            new SkippedReplica(
                                                    "s-7",
                                                    SkippedReplica.Cause.AT_SLOW_START_BUDGET))),
                            new Command.SendAttempt(id + ".9", "s-8", 470.25),
                            new Command.ScheduleWakeUp(12.5),
                            new Command.CheckHealth("s-1"),
                            new Command.SubscribeToEndpoints(Reason.ENDPOINTS_UNAVAILABLE),
                            new Command.LogMessage("näher"));
            entries.add(PolicyCall.of(0, seq++, now, received, sent, false));
            if (i % 11 == 5) {
                entries.add(new Gap(0, seq, now + 1, 3, now + 2));
                seq += 3;
            }
            List<Event> endEvents =
                    List.of(
                            new Event.AttemptEnded(
                                    id + ".3",
                                    0,
                                    OUTCOMES.get(i % 8),
                                    random.nextDouble() * 100,
                                    new LoadReport(3, Double.NaN, 0.61)),
                            new Event.AttemptEnded(id + ".9", 0, AttemptOutcome.COMPLETED, 3, null),
                            new Event.WakeUp(),
                            new Event.EndpointsUnavailable(),
                            new Event.HealthCheckEnded("s-1", AttemptOutcome.OVERLOADED, 1, null),
                            new Event.EndpointsUpdated(
                                    i % 2 == 0,
                                    List.of(
                                            new Endpoint(
                                                    "s-" + i % 5, 1, "a", 0, STATES.get(i % 3)))));
            Command endCommand =
                    switch (i % 4) {
                        case 0 -> new Command.AnswerQuery(id, true, Reason.COMPLETE);
                        case 1 -> new Command.RejectQuery(id, 250, Reason.NO_CAPACITY);
                        case 2 -> new Command.FailQuery(id, Reason.DEADLINE);
                        default -> new Command.AnswerQuery(id, false, Reason.LATENCY_OBJECTIVE);
                    };
            PolicyCall call =
                    PolicyCall.of(
                            0,
                            seq++,
                            now + 40.125,
                            endEvents,
                            List.of(
                                    new Command.CancelAttempt(id + ".9", 0, Reason.PART_COMPLETED),
                                    endCommand),
                            false);
            // Omits items of some calls. Some calls added below failed.
            entries.add(
                    i % 13 == 7
                            ? call.withItems(List.of(call.items().get(1), call.items().get(7)))
                            : call);
            if (i % 19 == 3) {
                entries.add(
                        PolicyCall.of(
                                0,
                                seq++,
                                now + 41,
                                List.of(new Event.ClientDisconnected(id)),
                                List.of(),
                                true));
            }
        }
        return entries;
    }

    /** Adds items of each kind that version 1.1 of the format added. */
    static List<Entry> entriesOfVersion11(long seed, int queries) {
        var entries = new ArrayList<>(entries(seed, queries));
        double now = START_MS + 1e6;
        for (ClusterView clusterView :
                List.of(
                        ClusterView.NONE,
                        new ClusterView(
                                7,
                                Map.of(
                                        SharedLimit.RETRIES,
                                        0,
                                        SharedLimit.slowStart("s-1"),
                                        300,
                                        SharedLimit.tenantQuota("acme"),
                                        7),
                                Map.of("s-3", 0.7, "s-1", 1.0)))) {
            entries.add(
                    PolicyCall.of(
                            0,
                            entries.size() + 100,
                            now++,
                            List.of(new Event.ClusterViewChanged(clusterView)),
                            List.of(
                                    new Command.ConsumeAllowance(SharedLimit.slowStart("s-1"), 12),
                                    new Command.ConsumeAllowance(SharedLimit.RETRIES, 1)),
                            false));
        }
        return entries;
    }

    static byte[] bytes(TraceHeader header, List<Entry> entries, boolean deflate)
            throws IOException {
        var out = new ByteArrayOutputStream();
        try (var writer = new TraceWriter(out, header, deflate)) {
            for (Entry entry : entries) {
                writer.add(entry);
                // Ends blocks early, so that a small file has several blocks.
                if (writer.entriesInBlock() >= 7) {
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

    /** Returns all entries that can be read. */
    public static List<Entry> read(Path file) throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            return all(reader.all());
        }
    }

    static List<Entry> all(TraceCursor cursor) throws IOException {
        var entries = new ArrayList<Entry>();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            entries.add(entry);
        }
        return entries;
    }

    static boolean mentions(PolicyCall call, String text) {
        return call.items().stream().map(Item::toString).anyMatch(item -> item.contains(text));
    }
}
