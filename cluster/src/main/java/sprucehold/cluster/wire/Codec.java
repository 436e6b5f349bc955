package sprucehold.cluster.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryDecoder;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import sprucehold.cluster.session.ClusterMessage;

/**
 * Encodes peer messages as bytes and decodes them. At this edge, the names of the Avro schema
 * {@code letter-1.avsc} are mapped to those of this program: {@link WireNames} contains the names
 * on the wire, {@link MessageWriter} and {@link MessageReader} map the records, and {@link
 * MessageFrame} adds the frame.
 *
 * <table>
 * <caption>Names on the wire and in this program</caption>
 * <tr><th>wire</th><th>program</th></tr>
 * <tr><td>Letter</td><td>a message with sender, receiver and highest readable version</td></tr>
 * <tr><td>reads</td><td>{@link Received.Decoded#highestVersion}</td></tr>
 * <tr><td>Ping, Ack, PingFor</td><td>{@code MemberMessage.Ping, Ack, PingRequest}</td></tr>
 * <tr><td>Compare, Table</td><td>{@code MemberMessage.CompareDigest, MemberTable}</td></tr>
 * <tr><td>News, news</td><td>{@code MemberUpdate}, {@code updates}</td></tr>
 * <tr><td>life</td><td>{@code generation}</td></tr>
 * <tr><td>number</td><td>{@code sequenceNumber}; in a Loan the number of the lease</td></tr>
 * <tr><td>back</td><td>{@code replyWanted}</td></tr>
 * <tr><td>Shares, Share, bound</td><td>{@code QuotaPart, LimitMessage, limit}</td></tr>
 * <tr><td>Ask, Grant, Nothing</td><td>{@code LeaseRequest, LeaseGrant, LeaseRefusal}</td></tr>
 * <tr><td>Renew, Renewed, Return</td><td>{@code RenewalRequest, RenewalGrant, LeaseReturn}</td></tr>
 * <tr><td>epoch, request</td><td>{@code epoch} or {@code requesterEpoch}, {@code requestNumber}</td></tr>
 * <tr><td>Loan, loan</td><td>{@code Lease}, {@code lease}</td></tr>
 * <tr><td>Told</td><td>{@code ObservationPart}</td></tr>
 * <tr><td>Count, counts</td><td>{@code CounterValue}, {@code counters}</td></tr>
 * <tr><td>Sighting, sightings</td><td>{@code Observation}, {@code observations}</td></tr>
 * <tr><td>good, bad</td><td>{@code successes}, {@code failures}</td></tr>
 * </table>
 */
public final class Codec {
    /**
     * Longest message sent as a datagram, in bytes; usual networks transmit it without
     * fragmentation.
     */
    public static final int MAX_DATAGRAM_BYTES = 1200;

    /**
     * Longest message sent on a stream, in bytes; it has room for the table of ten thousand
     * members.
     */
    public static final int MAX_STREAM_BYTES = 1 << 20;

    /**
     * Version of a refusal: a frame whose body states why its sender can't read the messages of its
     * receiver.
     */
    static final int REFUSAL_VERSION = 0;

    private static final int MAX_REFUSAL_BYTES = 200;

    static {
        // Avro allocates the memory for a length field before it checks whether that many bytes
        // follow. Without these limits, a message of a few bytes could exhaust the memory.
        System.setProperty(
                "org.apache.avro.limits.string.maxLength", String.valueOf(MAX_DATAGRAM_BYTES));
        System.setProperty(
                "org.apache.avro.limits.bytes.maxLength", String.valueOf(MAX_DATAGRAM_BYTES));
        System.setProperty(
                "org.apache.avro.limits.collectionItems.maxLength",
                String.valueOf(MessageReader.MAX_ITEMS));
    }

    private final String self;
    private final NavigableMap<Integer, Schema> versions;

    /**
     * Creates a codec for all versions that this program knows.
     *
     * @param self this gatherer's name
     */
    public Codec(String self) {
        this(self, schemasByVersion());
    }

    /**
     * @param versions schemas by version; messages are decoded into the highest one
     */
    Codec(String self, NavigableMap<Integer, Schema> versions) {
        this.self = self;
        this.versions = versions;
    }

    static NavigableMap<Integer, Schema> schemasByVersion() {
        try (InputStream in = Codec.class.getResourceAsStream("/letter-1.avsc")) {
            return new TreeMap<>(Map.of(1, new Schema.Parser().parse(in)));
        } catch (IOException e) {
            throw new UncheckedIOException("the schema of peer messages can't be read", e);
        }
    }

    /**
     * Returns the lowest version that this program writes; it is used for peers whose highest
     * version is unknown.
     */
    public int lowestVersion() {
        return versions.firstKey();
    }

    /** Returns the highest version that this program reads. */
    public int highestVersion() {
        return versions.lastKey();
    }

    /** Returns the version in which to write to a peer that reads up to {@code highestOfPeer}. */
    public int commonVersion(int highestOfPeer) {
        Integer version = versions.floorKey(highestOfPeer);
        return version == null ? lowestVersion() : version;
    }

    /**
     * Encodes a message.
     *
     * @return more than {@link #MAX_DATAGRAM_BYTES} bytes if the message has to be sent on a
     *     stream; null if it is longer than {@link #MAX_STREAM_BYTES}
     */
    public byte[] write(String to, ClusterMessage message, int version) {
        Schema schema = versions.get(version);
        GenericRecord record = new GenericData.Record(schema);
        record.put(WireNames.FROM, self);
        record.put(WireNames.TO, to);
        record.put(WireNames.HIGHEST_VERSION, highestVersion());
        Schema bodyUnion = schema.getField(WireNames.BODY).schema();
        record.put(WireNames.BODY, new MessageWriter(bodyUnion).body(message));
        putDefaults(schema, record);
        ByteArrayOutputStream frame = MessageFrame.begin(version);
        try {
            BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(frame, null);
            new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("a peer message can't be encoded", e);
        }
        byte[] bytes = MessageFrame.seal(frame.toByteArray());
        return bytes.length > MAX_STREAM_BYTES ? null : bytes;
    }

    /** Sets the fields of a later version that this program doesn't know to their defaults. */
    private static void putDefaults(Schema schema, GenericRecord record) {
        for (Schema.Field field : schema.getFields()) {
            if (record.get(field.pos()) == null) {
                record.put(field.pos(), GenericData.get().getDefaultValue(field));
            }
        }
    }

    /**
     * Creates the reply to a sender whose messages can't be read. Of such a message, only the
     * version is known.
     */
    public byte[] encodeRefusal(int version) {
        String reason =
                "version "
                        + version
                        + " can't be read here, "
                        + lowestVersion()
                        + " to "
                        + highestVersion()
                        + " can";
        ByteArrayOutputStream frame = MessageFrame.begin(REFUSAL_VERSION);
        frame.writeBytes(reason.getBytes(StandardCharsets.UTF_8));
        return MessageFrame.seal(frame.toByteArray());
    }

    /** Decodes received bytes; never throws, whatever the bytes are. */
    public Received read(byte[] bytes) {
        if (bytes.length > MAX_STREAM_BYTES || !MessageFrame.isFrame(bytes)) {
            return new Received.Foreign("not a message");
        }
        if (!MessageFrame.isIntact(bytes)) {
            return new Received.Foreign("checksum mismatch");
        }
        int version = MessageFrame.version(bytes);
        if (version == REFUSAL_VERSION) {
            return new Received.VersionRefused(refusalReason(bytes));
        }
        Schema written = versions.get(version);
        if (written == null) {
            return new Received.UnknownVersion(version);
        }
        try {
            return decode(bytes, written);
        } catch (IOException
                | AvroRuntimeException
                | IllegalArgumentException
                | ClassCastException
                | IndexOutOfBoundsException
                | NegativeArraySizeException
                | UnsupportedOperationException e) {
            return new Received.Foreign("malformed: " + e.getMessage());
        }
    }

    /**
     * Extracts the reason for a log line: limited in length, and without control characters such as
     * line breaks.
     */
    private static String refusalReason(byte[] bytes) {
        int length = Math.min(MAX_REFUSAL_BYTES, bytes.length - MessageFrame.HEADER_BYTES);
        return new String(bytes, MessageFrame.HEADER_BYTES, length, StandardCharsets.UTF_8)
                .replaceAll("\\p{C}", "?");
    }

    private Received decode(byte[] bytes, Schema written) throws IOException {
        int length = bytes.length - MessageFrame.HEADER_BYTES;
        BinaryDecoder decoder =
                DecoderFactory.get().binaryDecoder(bytes, MessageFrame.HEADER_BYTES, length, null);
        GenericRecord record =
                new GenericDatumReader<GenericRecord>(written, versions.lastEntry().getValue())
                        .read(null, decoder);
        if (!decoder.isEnd()) {
            return new Received.Foreign("bytes after the message");
        }
        String from = MessageReader.text(record, WireNames.FROM);
        String to = MessageReader.text(record, WireNames.TO);
        if (!to.equals(self)) {
            return new Received.Foreign("addressed to " + to);
        }
        return new Received.Decoded(
                from,
                (int) record.get(WireNames.HIGHEST_VERSION),
                MessageReader.message(from, (GenericRecord) record.get(WireNames.BODY)));
    }
}
