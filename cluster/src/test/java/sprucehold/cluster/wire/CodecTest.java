package sprucehold.cluster.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.apache.avro.Schema;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.QuotaMessage;
import sprucehold.cluster.session.ClusterMessage;

/** Tests that messages are decoded intact or not at all. */
public class CodecTest {
    private static final MemberUpdate UPDATE =
            new MemberUpdate("b", "y", 1L << 41, 3, MemberUpdate.State.SUSPECT);
    private static final Lease LEASE = new Lease("a", 1L << 41, 7, 5);
    private final Codec a = new Codec("a");
    private final Codec b = new Codec("b");

    private static ClusterMessage quotaPart(String limit, QuotaMessage message) {
        return new ClusterMessage.QuotaPart(
                List.of(new ClusterMessage.LimitMessage(limit, message)));
    }

    @DataProvider
    Object[][] messages() {
        return new Object[][] {
            {new ClusterMessage.MembershipPart(new MemberMessage.Ping(1, List.of()))},
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.Ping(
                                1,
                                List.of(
                                        UPDATE,
                                        new MemberUpdate("c", "z", 0, 0, MemberUpdate.State.LEFT))))
            },
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.Ack(Long.MAX_VALUE, List.of(UPDATE)))
            },
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.PingRequest(2, "c", List.of(UPDATE)))
            },
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.MemberTable(false, List.of(UPDATE)))
            },
            {new ClusterMessage.MembershipPart(new MemberMessage.MemberTable(true, List.of()))},
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.CompareDigest(Long.MIN_VALUE, List.of(UPDATE)))
            },
            {quotaPart("further dispatches", new QuotaMessage.LeaseRequest(5, 6, 7))},
            {quotaPart("x", new QuotaMessage.LeaseGrant(5, 6, LEASE))},
            {quotaPart("x", new QuotaMessage.LeaseRefusal(5, 6))},
            {quotaPart("x", new QuotaMessage.RenewalRequest(5, 6, LEASE))},
            {quotaPart("x", new QuotaMessage.RenewalGrant(5, 6, LEASE))},
            {
                new ClusterMessage.QuotaPart(
                        List.of(
                                new ClusterMessage.LimitMessage(
                                        "x", new QuotaMessage.LeaseReturn(LEASE)),
                                new ClusterMessage.LimitMessage(
                                        "y", new QuotaMessage.LeaseRequest(1, 2, 3))))
            },
            {
                new ClusterMessage.ObservationPart(
                        List.of(new CounterValue("a", 4, "s-1", 99)),
                        List.of(new Observation("a", "x", "s-1", "y", 1.7e12, 1.5, 2.25, 8)))
            },
            {new ClusterMessage.ObservationPart(List.of(), List.of())},
        };
    }

    /**
     * Compares the bytes of each of {@link #messages} with those that an earlier build wrote; the
     * file has one line of hex for each.
     */
    @Test
    public void encodedBytesEqualThoseOfEarlierBuilds() throws IOException {
        var written = new StringBuilder();
        for (Object[] message : messages()) {
            written.append(HexFormat.of().formatHex(a.write("b", (ClusterMessage) message[0], 1)))
                    .append('\n');
        }
        try (InputStream in = CodecTest.class.getResourceAsStream("/golden-messages.hex")) {
            assertEquals(
                    written.toString(), new String(in.readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    @Test(dataProvider = "messages")
    public void eachKindOfMessageIsDecodedAsItWasEncoded(ClusterMessage message) {
        assertEquals(b.read(a.write("b", message, 1)), new Received.Decoded("a", 1, message));
    }

    @Test(dataProvider = "messages")
    public void corruptedTruncatedOrExtendedBytesAreForeign(ClusterMessage message) {
        byte[] whole = a.write("b", message, 1);
        for (int bit = 0; bit < 8 * whole.length; bit++) {
            byte[] flipped = whole.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertTrue(b.read(flipped) instanceof Received.Foreign, "bit " + bit);
        }
        for (int length = 0; length < whole.length; length++) {
            assertTrue(
                    b.read(Arrays.copyOf(whole, length)) instanceof Received.Foreign,
                    "length " + length);
        }
        assertTrue(b.read(Arrays.copyOf(whole, whole.length + 1)) instanceof Received.Foreign);
    }

    @Test
    public void decodingOfRandomBytesNeverThrows() {
        var random = new Random(4);
        byte[] intact =
                a.write(
                        "b",
                        new ClusterMessage.MembershipPart(
                                new MemberMessage.Ping(1, List.of(UPDATE))),
                        1);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(200)];
            random.nextBytes(bytes);
            if (bytes.length > 7) {
                System.arraycopy(intact, 0, bytes, 0, 3);
                seal(bytes);
            }
            assertNotNull(b.read(bytes));
        }
    }

    /** Sets the correct checksum in a frame, so that the codec decodes the body. */
    private static void seal(byte[] bytes) {
        var sum = new CRC32C();
        sum.update(bytes[2]);
        sum.update(bytes, 7, bytes.length - 7);
        for (int j = 0; j < 4; j++) {
            bytes[3 + j] = (byte) (sum.getValue() >>> (24 - 8 * j));
        }
    }

    @Test
    public void excessiveLengthFieldIsRejectedWithoutAllocation() {
        byte[] bytes = Arrays.copyOf(new byte[] {'S', 'G', 1}, 40);
        // Length of a string in zigzag encoding: 1,072,684,991, slightly less than 2^30.
        for (int i = 7; i < 11; i++) {
            bytes[i] = (byte) 0xfe;
        }
        bytes[11] = 7;
        seal(bytes);
        Received received = b.read(bytes);
        assertTrue(
                received instanceof Received.Foreign foreign
                        && foreign.reason().contains("exceeds maximum allowed"),
                received.toString());
    }

    @Test
    public void messageToAnotherGathererIsForeign() {
        assertEquals(
                b.read(a.write("c", quotaPart("x", new QuotaMessage.LeaseRequest(5, 6, 7)), 1)),
                new Received.Foreign("addressed to c"));
    }

    @Test
    public void messagesFitIntoADatagramAndTablesIntoAStream() {
        var update =
                new MemberUpdate(
                        "n".repeat(32), "s".repeat(24), 1L << 41, 100, MemberUpdate.State.ALIVE);
        var updates = Collections.nCopies(12, update);
        var limitMessages =
                Collections.nCopies(
                        10,
                        new ClusterMessage.LimitMessage(
                                "COLD " + "s".repeat(32) + "@1700000000000",
                                new QuotaMessage.LeaseGrant(
                                        1L << 41,
                                        1L << 20,
                                        new Lease("n".repeat(32), 1L << 41, 1L << 20, 1000))));
        for (ClusterMessage message :
                List.of(
                        new ClusterMessage.MembershipPart(
                                new MemberMessage.Ping(1L << 40, updates)),
                        new ClusterMessage.QuotaPart(limitMessages))) {
            byte[] bytes = a.write("b".repeat(32), message, 1);
            assertTrue(bytes.length <= Codec.MAX_DATAGRAM_BYTES, "length " + bytes.length);
        }
        var table =
                new ClusterMessage.MembershipPart(
                        new MemberMessage.MemberTable(true, Collections.nCopies(1000, update)));
        byte[] bytes = a.write("b", table, 1);
        assertTrue(
                bytes.length > Codec.MAX_DATAGRAM_BYTES && bytes.length < 90_000,
                "length " + bytes.length);
        assertEquals(b.read(bytes), new Received.Decoded("a", 1, table));
        assertNull(
                a.write(
                        "b",
                        new ClusterMessage.MembershipPart(
                                new MemberMessage.MemberTable(
                                        true, Collections.nCopies(20_000, update))),
                        1));
    }

    @Test
    public void senderOfAnUnknownVersionReceivesTheReason() {
        var later = new Codec("c", nextVersionSchemas());
        byte[] message =
                later.write("a", quotaPart("x", new QuotaMessage.LeaseRequest(5, 6, 7)), 2);
        int version = ((Received.UnknownVersion) a.read(message)).version();
        assertEquals(
                later.read(a.encodeRefusal(version)),
                new Received.VersionRefused("version 2 can't be read here, 1 to 1 can"));
    }

    /** Returns the schemas of a program of the next version, whose messages have one more field. */
    private static NavigableMap<Integer, Schema> nextVersionSchemas() {
        var versions = new TreeMap<>(Codec.schemasByVersion());
        String text =
                versions.get(1)
                        .toString()
                        .replace(
                                "{\"name\":\"reads\"",
                                "{\"name\":\"mood\",\"type\":\"string\",\"default\":"
                                        + "\"even\"},{\"name\":\"reads\"");
        versions.put(2, new Schema.Parser().parse(text));
        return versions;
    }

    @Test
    public void adjacentVersionsDecodeEachOtherOrReportAnUnknownVersion() {
        var message = quotaPart("x", new QuotaMessage.LeaseRequest(5, 6, 7));
        var later = new Codec("c", nextVersionSchemas());
        assertEquals(later.read(a.write("c", message, 1)), new Received.Decoded("a", 1, message));
        assertEquals(
                a.read(later.write("a", message, later.commonVersion(1))),
                new Received.Decoded("c", 2, message));
        assertEquals(a.read(later.write("a", message, 2)), new Received.UnknownVersion(2));
        assertEquals(
                Map.of(
                        "lowest",
                        later.lowestVersion(),
                        "common with 7",
                        later.commonVersion(7),
                        "common with 0",
                        later.commonVersion(0)),
                Map.of("lowest", 1, "common with 7", 2, "common with 0", 1));
    }
}
