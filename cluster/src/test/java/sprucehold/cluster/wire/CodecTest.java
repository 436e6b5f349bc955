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

/** Messages as bytes: intact, or nothing at all. */
public class CodecTest {
    private static final MemberUpdate NEWS =
            new MemberUpdate("b", "y", 1L << 41, 3, MemberUpdate.State.SUSPECT);
    private static final Lease LOAN = new Lease("a", 1L << 41, 7, 5);
    private final Codec a = new Codec("a");
    private final Codec b = new Codec("b");

    private static ClusterMessage shares(String bound, QuotaMessage message) {
        return new ClusterMessage.QuotaPart(
                List.of(new ClusterMessage.LimitMessage(bound, message)));
    }

    @DataProvider
    Object[][] letters() {
        return new Object[][] {
            {new ClusterMessage.MembershipPart(new MemberMessage.Ping(1, List.of()))},
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.Ping(
                                1,
                                List.of(
                                        NEWS,
                                        new MemberUpdate("c", "z", 0, 0, MemberUpdate.State.LEFT))))
            },
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.Ack(Long.MAX_VALUE, List.of(NEWS)))
            },
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.PingRequest(2, "c", List.of(NEWS)))
            },
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.MemberTable(false, List.of(NEWS)))
            },
            {new ClusterMessage.MembershipPart(new MemberMessage.MemberTable(true, List.of()))},
            {
                new ClusterMessage.MembershipPart(
                        new MemberMessage.CompareDigest(Long.MIN_VALUE, List.of(NEWS)))
            },
            {shares("further dispatches", new QuotaMessage.LeaseRequest(5, 6, 7))},
            {shares("x", new QuotaMessage.LeaseGrant(5, 6, LOAN))},
            {shares("x", new QuotaMessage.LeaseRefusal(5, 6))},
            {shares("x", new QuotaMessage.RenewalRequest(5, 6, LOAN))},
            {shares("x", new QuotaMessage.RenewalGrant(5, 6, LOAN))},
            {
                new ClusterMessage.QuotaPart(
                        List.of(
                                new ClusterMessage.LimitMessage(
                                        "x", new QuotaMessage.LeaseReturn(LOAN)),
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

    /** The bytes that an earlier build wrote for each of {@link #letters}, a line of hex each. */
    @Test
    public void bytesOnTheWireAreThoseOfEarlierBuilds() throws IOException {
        var written = new StringBuilder();
        for (Object[] letter : letters()) {
            written.append(HexFormat.of().formatHex(a.write("b", (ClusterMessage) letter[0], 1)))
                    .append('\n');
        }
        try (InputStream in = CodecTest.class.getResourceAsStream("/golden-messages.hex")) {
            assertEquals(
                    written.toString(), new String(in.readAllBytes(), StandardCharsets.US_ASCII));
        }
    }

    @Test(dataProvider = "letters")
    public void eachKindIsReadAsItWasWritten(ClusterMessage message) {
        assertEquals(b.read(a.write("b", message, 1)), new Received.Decoded("a", 1, message));
    }

    @Test(dataProvider = "letters")
    public void flippedCutOrLengthenedBytesAreForeign(ClusterMessage message) {
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
    public void noBytesMakeItFail() {
        var random = new Random(4);
        byte[] sound =
                a.write(
                        "b",
                        new ClusterMessage.MembershipPart(new MemberMessage.Ping(1, List.of(NEWS))),
                        1);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(200)];
            random.nextBytes(bytes);
            if (bytes.length > 7) {
                System.arraycopy(sound, 0, bytes, 0, 3);
                seal(bytes);
            }
            assertNotNull(b.read(bytes));
        }
    }

    /** Gives bytes a sum that is right, so that what lies behind the head is read. */
    private static void seal(byte[] bytes) {
        var sum = new CRC32C();
        sum.update(bytes[2]);
        sum.update(bytes, 7, bytes.length - 7);
        for (int j = 0; j < 4; j++) {
            bytes[3 + j] = (byte) (sum.getValue() >>> (24 - 8 * j));
        }
    }

    @Test
    public void aLengthThatLiesTakesNoMemory() {
        byte[] bytes = Arrays.copyOf(new byte[] {'S', 'G', 1}, 40);
        // As the length of a string: one short of 2^30 in zigzag.
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
    public void aMessageToAnotherIsForeign() {
        assertEquals(
                b.read(a.write("c", shares("x", new QuotaMessage.LeaseRequest(5, 6, 7)), 1)),
                new Received.Foreign("addressed to c"));
    }

    @Test
    public void messagesButTablesFitIntoADatagramAndTablesOntoAStream() {
        var update =
                new MemberUpdate(
                        "n".repeat(32), "s".repeat(24), 1L << 41, 100, MemberUpdate.State.ALIVE);
        var twelve = Collections.nCopies(12, update);
        var asks =
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
                        new ClusterMessage.MembershipPart(new MemberMessage.Ping(1L << 40, twelve)),
                        new ClusterMessage.QuotaPart(asks))) {
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
    public void aSenderOfAnUnknownVersionIsToldWhy() {
        var later = new Codec("c", next());
        byte[] letter = later.write("a", shares("x", new QuotaMessage.LeaseRequest(5, 6, 7)), 2);
        int version = ((Received.UnknownVersion) a.read(letter)).version();
        assertEquals(
                later.read(a.refusal(version)),
                new Received.VersionRefused("version 2 can't be read here, 1 to 1 can"));
    }

    /** A program of the next version: letters have one more field. */
    private static NavigableMap<Integer, Schema> next() {
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
    public void theVersionBeforeAndAfterUnderstandEachOtherOrSaySo() {
        var message = shares("x", new QuotaMessage.LeaseRequest(5, 6, 7));
        var later = new Codec("c", next());
        assertEquals(later.read(a.write("c", message, 1)), new Received.Decoded("a", 1, message));
        assertEquals(
                a.read(later.write("a", message, later.common(1))),
                new Received.Decoded("c", 2, message));
        assertEquals(a.read(later.write("a", message, 2)), new Received.UnknownVersion(2));
        assertEquals(
                Map.of(
                        "lowest",
                        later.lowest(),
                        "common with 7",
                        later.common(7),
                        "common with 0",
                        later.common(0)),
                Map.of("lowest", 1, "common with 7", 2, "common with 0", 1));
    }
}
