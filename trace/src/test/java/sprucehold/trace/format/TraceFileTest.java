package sprucehold.trace.format;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.zip.Deflater;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.TraceHeader;

public class TraceFileTest {
    private static final TraceHeader HEADER = TraceHeader.of(Samples.source("g0"));

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {
            {0, true}, {1, true}, {1, false}, {40, true}, {40, false}, {3000, true}
        };
    }

    @Test(dataProvider = "sizes")
    public void writtenEntriesAreReadBackAndVerified(int queries, boolean deflate)
            throws IOException {
        List<Entry> entries = Samples.entries(queries, queries);
        Path file = Samples.file(Samples.bytes(HEADER, entries, deflate));
        try (TraceReader reader = TraceReader.open(file)) {
            assertNull(reader.damage());
            assertEquals(reader.header(), HEADER);
            assertEquals(Samples.all(reader.all()), entries);
            TraceVerification verification = reader.verify();
            assertTrue(verification.valid(), verification.problem());
            assertEquals(verification.records(), reader.records());
            assertEquals(verification.entries(), entries.size());
        }
    }

    @Test
    public void indexFindsEveryBlockOfAQueryServerAndTimeRange() throws IOException {
        List<Entry> entries = Samples.entries(5, 400);
        Path file = Samples.file(Samples.bytes(HEADER, entries, true));
        try (TraceReader reader = TraceReader.open(file)) {
            for (int i = 0; i < entries.size(); i += 37) {
                if (!(entries.get(i) instanceof PolicyCall call)
                        || !(call.items().get(0).event() instanceof Event.QueryReceived received)) {
                    continue;
                }
                assertEquals(
                        mentioning(Samples.all(reader.ofQuery(received.id())), received.id()),
                        mentioning(entries, received.id()));
            }
            // CancelAttempt contains no shard server, only the part and the attempt number, so the
            // writer must look the server up by the SendAttempt command.
            assertTrue(
                    Samples.all(reader.ofServer("s-3")).size()
                            >= mentioning(entries, "s-3").size());
            double from = Samples.START_MS + 50_000;
            List<Entry> wanted =
                    entries.stream()
                            .filter(e -> e.nowMs() >= from && e.nowMs() < from + 5000)
                            .toList();
            assertTrue(
                    !wanted.isEmpty()
                            && Samples.all(reader.between(from, from + 5000)).containsAll(wanted));
            assertTrue(Samples.all(reader.between(from, from + 5000)).size() < entries.size() / 2);
            assertTrue(Samples.all(reader.ofQuery("no such")).isEmpty());
        }
    }

    private static List<Entry> mentioning(List<Entry> entries, String id) {
        return entries.stream()
                .filter(e -> e instanceof PolicyCall call && Samples.mentions(call, id))
                .toList();
    }

    @Test
    public void everyUseOfARepeatedQueryIdIsFound() throws IOException {
        var entries = new java.util.ArrayList<Entry>();
        for (int i = 0; i < 60; i++) {
            Event received =
                    new Event.QueryReceived(
                            i % 20 == 0 ? "again" : "other-" + i,
                            i + 1,
                            Samples.IDEMPOTENT_CLASS,
                            null,
                            100);
            entries.add(
                    PolicyCall.of(0, i, Samples.START_MS + i, List.of(received), List.of(), false));
        }
        try (TraceReader reader =
                TraceReader.open(Samples.file(Samples.bytes(HEADER, entries, true)))) {
            assertEquals(mentioning(Samples.all(reader.ofQuery("again")), "again").size(), 3);
        }
    }

    private static byte[] golden(String version) throws IOException {
        try (InputStream in =
                TraceFileTest.class.getResourceAsStream("/golden-" + version + ".trace")) {
            return in.readAllBytes();
        }
    }

    @Test
    public void goldenFilesOfAllVersionsAreReadAndTheNewestIsWritten() throws IOException {
        assertEquals(Samples.read(Samples.file(golden("1.0"))), Samples.entries(1, 20));
        List<Entry> entries = Samples.entriesOfVersion11(1, 20);
        assertEquals(Samples.read(Samples.file(golden("1.1"))), entries);
        // The blocks are stored, as the output of deflate may differ between JDKs.
        assertEquals(Samples.bytes(HEADER, entries, false), golden("1.1"));
    }

    @Test
    public void sharedLimitOfUnknownKindDoesNotAffectOtherItems() throws IOException {
        var raw = new ByteArrayOutputStream();
        var out = CodedOutputStream.newInstance(raw);
        record(out, RecordKind.POLICY_CALL, 0, 0, 0, 0, 3, 0);
        // Five gatherers; one limit of the unknown kind 99 with an empty subject and nine units; no
        // failure scores.
        record(out, RecordKind.CLUSTER_VIEW_CHANGED, 5, 1, 99, 0, 0, 9, 0);
        record(out, RecordKind.CONSUME_ALLOWANCE, 99, 2, 4);
        record(out, RecordKind.WAKE_UP);
        out.flush();
        List<Entry> read = BlockDecoder.decode(HEADER.sources(), raw.toByteArray());
        assertEquals(
                ((PolicyCall) read.get(0)).items(),
                List.of(
                        new Item(
                                0,
                                new Event.ClusterViewChanged(
                                        new ClusterView(5, Map.of(), Map.of())),
                                null),
                        new Item(
                                1,
                                null,
                                new Command.LogMessage(
                                        "4 units of a bound that this build can't name")),
                        new Item(2, new Event.WakeUp(), null)));
    }

    @Test
    public void unknownRecordsAndFieldsOfANewerMinorVersionAreSkipped() throws IOException {
        var raw = new ByteArrayOutputStream();
        var out = CodedOutputStream.newInstance(raw);
        record(out, RecordKind.POLICY_CALL, 0, 0, 0, 0, 2, 77, 78);
        record(out, 99, 1, 2, 3);
        record(out, RecordKind.WAKE_UP, 5);
        record(out, 60, 1);
        record(out, RecordKind.WAKE_UP);
        out.flush();
        List<Entry> read = BlockDecoder.decode(HEADER.sources(), raw.toByteArray());
        assertEquals(
                read,
                List.of(
                        new PolicyCall(
                                0,
                                0,
                                0,
                                false,
                                2,
                                List.of(
                                        new Item(0, new Event.WakeUp(), null),
                                        new Item(1, new Event.WakeUp(), null)))));
    }

    private static void record(CodedOutputStream out, int kind, int... body) throws IOException {
        out.writeUInt32NoTag(kind);
        out.writeUInt32NoTag(body.length);
        for (int b : body) {
            out.writeUInt32NoTag(b);
        }
    }

    @Test
    public void fileWithSeveralIndexesIsSearchedAndVerified() throws IOException {
        // More than twice as many queries as one index lists.
        int queries = 2 * BlockIndexBuilder.MAX_QUERIES + 5000;
        var bytes = new ByteArrayOutputStream();
        try (var writer = new TraceWriter(bytes, HEADER)) {
            for (int i = 0; i < queries; i++) {
                Event received =
                        new Event.QueryReceived(
                                "scan-" + i, i + 1, Samples.IDEMPOTENT_CLASS, null, 100);
                writer.add(
                        PolicyCall.of(
                                0, i, Samples.START_MS + i, List.of(received), List.of(), false));
            }
        }
        try (TraceReader reader = TraceReader.open(Samples.file(bytes.toByteArray()))) {
            for (int i : new int[] {0, BlockIndexBuilder.MAX_QUERIES + 3, queries - 1}) {
                assertEquals(
                        mentioning(Samples.all(reader.ofQuery("scan-" + i)), "id=scan-" + i + ",")
                                .size(),
                        1);
            }
            assertTrue(reader.verify().valid());
        }
    }

    @Test
    public void incompressibleBlockIsStoredUncompressed() {
        byte[] noise = new byte[500];
        new java.util.Random(3).nextBytes(noise);
        byte[] frame = Frame.write(Layout.BLOCK, noise, 0, 0, 0, 0, new Deflater(1, true));
        assertEquals(frame.length, Layout.FRAME_BYTES + noise.length);
    }

    @Test
    public void changedDeploymentAndItsQueriesAreReadBack() throws IOException {
        var queryClass =
                new QueryClass(
                        "offers",
                        QueryClass.Idempotence.DEDUPLICATED,
                        600,
                        2,
                        0.3,
                        900,
                        0.75,
                        0.75,
                        0);
        var tenant = new Tenant("late comer", 3);
        Deployment base = Samples.DEPLOYMENT;
        var deployment =
                new Deployment(
                        base.gatherers(),
                        base.zone(),
                        base.tickMs(),
                        base.overQuotaPriority(),
                        List.of(queryClass),
                        List.of(tenant),
                        base.layout(),
                        base.limits(),
                        base.slowStart(),
                        base.retryBudget(),
                        base.endpointSubscription());
        List<Entry> entries =
                List.of(
                        PolicyCall.of(
                                0,
                                0,
                                5,
                                List.of(new Event.DeploymentChanged(deployment)),
                                List.of(),
                                false),
                        PolicyCall.of(
                                0,
                                1,
                                6,
                                List.of(
                                        new Event.QueryReceived("a", 1, queryClass, tenant, 9),
                                        new Event.QueryReceived(
                                                "b",
                                                2,
                                                Samples.IDEMPOTENT_CLASS,
                                                Samples.TENANT,
                                                9),
                                        new Event.QueryReceived("c", 3, queryClass, null, 9)),
                                List.of(),
                                false));
        Path file = Samples.file(Samples.bytes(HEADER, entries, true));
        assertEquals(Samples.read(file), entries);
        try (TraceReader reader = TraceReader.open(file)) {
            assertTrue(reader.verify().valid());
        }
    }
}
