package sprucehold.cluster.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.zip.CRC32C;
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
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.QuotaMessage;
import sprucehold.cluster.session.ClusterMessage;

/** Letters to bytes and back. */
public final class Codec {
    /** A datagram that passes any usual way whole. */
    public static final int MOST_BYTES = 1200;

    /** A letter that passes on a stream: the table of ten thousand members. */
    public static final int MOST_LONG_BYTES = 1 << 20;

    /** Of such a frame, which says why the letters of another can't be read. */
    static final int REFUSAL = 0;

    private static final int HEAD = 7;

    /** Longest array that a letter may hold; more is no letter of ours. */
    private static final int MOST_ITEMS = 10_000;

    private static final int MOST_WORDS = 200;

    static {
        // Avro makes room for what a length says before it looks whether so much is there: a few
        // bytes would take all memory.
        System.setProperty("org.apache.avro.limits.string.maxLength", String.valueOf(MOST_BYTES));
        System.setProperty("org.apache.avro.limits.bytes.maxLength", String.valueOf(MOST_BYTES));
        System.setProperty(
                "org.apache.avro.limits.collectionItems.maxLength", String.valueOf(MOST_ITEMS));
    }

    private final String self;
    private final NavigableMap<Integer, Schema> versions;

    /** Reads and writes all versions that this program knows. */
    public Codec(String self) {
        this(self, shipped());
    }

    /**
     * @param versions schemas by version; the highest is what letters are read into
     */
    Codec(String self, NavigableMap<Integer, Schema> versions) {
        this.self = self;
        this.versions = versions;
    }

    static NavigableMap<Integer, Schema> shipped() {
        try (InputStream in = Codec.class.getResourceAsStream("/letter-1.avsc")) {
            return new TreeMap<>(java.util.Map.of(1, new Schema.Parser().parse(in)));
        } catch (IOException e) {
            throw new UncheckedIOException("the schema of letters can't be read", e);
        }
    }

    /** The lowest version that is spoken: who isn't known yet is written to in it. */
    public int lowest() {
        return versions.firstKey();
    }

    /** The highest version that is spoken. */
    public int highest() {
        return versions.lastKey();
    }

    /** The version in which to write to one who reads up to {@code reads}. */
    public int common(int reads) {
        Integer version = versions.floorKey(reads);
        return version == null ? lowest() : version;
    }

    /**
     * Writes a letter.
     *
     * @return more than {@link #MOST_BYTES} if it is to go on a stream; null if it is longer than
     *     {@link #MOST_LONG_BYTES}
     */
    public byte[] write(String to, ClusterMessage message, int version) {
        Schema schema = versions.get(version);
        GenericRecord record = new GenericData.Record(schema);
        record.put("from", self);
        record.put("to", to);
        record.put("reads", highest());
        record.put("body", body(schema.getField("body").schema(), message));
        // Fields that this program fills with nothing have their defaults.
        for (Schema.Field field : schema.getFields()) {
            if (record.get(field.pos()) == null) {
                record.put(field.pos(), GenericData.get().getDefaultValue(field));
            }
        }
        var bytes = new ByteArrayOutputStream(256);
        bytes.writeBytes(new byte[] {'S', 'G', (byte) version, 0, 0, 0, 0});
        try {
            BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(bytes, null);
            new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
            encoder.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("bytes in memory can't be written", e);
        }
        byte[] whole = sealed(bytes.toByteArray());
        return whole.length > MOST_LONG_BYTES ? null : whole;
    }

    /**
     * What to say to one whose letters can't be read, and from whom nothing but a version is known.
     */
    public byte[] refusal(int version) {
        byte[] words =
                ("version "
                                + version
                                + " can't be read here, "
                                + lowest()
                                + " to "
                                + highest()
                                + " can")
                        .getBytes(StandardCharsets.UTF_8);
        byte[] whole = new byte[HEAD + words.length];
        whole[0] = 'S';
        whole[1] = 'G';
        whole[2] = REFUSAL;
        System.arraycopy(words, 0, whole, HEAD, words.length);
        return sealed(whole);
    }

    private static byte[] sealed(byte[] whole) {
        long sum = sum(whole);
        for (int i = 0; i < 4; i++) {
            whole[3 + i] = (byte) (sum >>> (24 - 8 * i));
        }
        return whole;
    }

    private static long sum(byte[] whole) {
        var sum = new CRC32C();
        sum.update(whole[2]);
        sum.update(whole, HEAD, whole.length - HEAD);
        return sum.getValue();
    }

    /** Reads whatever came. */
    public Received read(byte[] bytes) {
        if (bytes.length <= HEAD
                || bytes.length > MOST_LONG_BYTES
                || bytes[0] != 'S'
                || bytes[1] != 'G') {
            return new Received.Foreign("not a letter");
        }
        long told = 0;
        for (int i = 0; i < 4; i++) {
            told = told << 8 | bytes[3 + i] & 0xff;
        }
        if (told != sum(bytes)) {
            return new Received.Foreign("changed on the way");
        }
        int version = bytes[2] & 0xff;
        if (version == REFUSAL) {
            // Words for a log: never longer than a line, and no letters that would make it two.
            return new Received.Refused(
                    new String(
                                    bytes,
                                    HEAD,
                                    Math.min(MOST_WORDS, bytes.length - HEAD),
                                    StandardCharsets.UTF_8)
                            .replaceAll("\\p{C}", "?"));
        }
        Schema written = versions.get(version);
        if (written == null) {
            return new Received.Unknown(version);
        }
        try {
            BinaryDecoder decoder =
                    DecoderFactory.get().binaryDecoder(bytes, HEAD, bytes.length - HEAD, null);
            GenericRecord record =
                    new GenericDatumReader<GenericRecord>(written, versions.lastEntry().getValue())
                            .read(null, decoder);
            if (!decoder.isEnd()) {
                return new Received.Foreign("more than a letter");
            }
            String from = text(record, "from");
            if (!text(record, "to").equals(self)) {
                return new Received.Foreign("a letter to " + text(record, "to"));
            }
            return new Received.Read(
                    from,
                    (int) record.get("reads"),
                    letter(from, (GenericRecord) record.get("body")));
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

    // ---- Letters to records ----

    private static Schema kind(Schema union, String name) {
        return union.getTypes().stream()
                .filter(type -> type.getName().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static GenericRecord record(Schema schema, Object... fields) {
        var record = new GenericData.Record(schema);
        for (int i = 0; i < fields.length; i += 2) {
            record.put((String) fields[i], fields[i + 1]);
        }
        return record;
    }

    private static <T> List<GenericRecord> records(
            Schema of, String field, List<T> values, Function<T, Object[]> fields) {
        Schema item = of.getField(field).schema().getElementType();
        return values.stream().map(value -> record(item, fields.apply(value))).toList();
    }

    private static List<GenericRecord> news(Schema of, List<MemberUpdate> news) {
        Schema state = of.getField("news").schema().getElementType().getField("state").schema();
        return records(
                of,
                "news",
                news,
                one ->
                        new Object[] {
                            "name",
                            one.name(),
                            "site",
                            one.site(),
                            "life",
                            one.life(),
                            "incarnation",
                            one.incarnation(),
                            "state",
                            new GenericData.EnumSymbol(state, one.state().name())
                        });
    }

    private static GenericRecord loan(Schema of, Lease lease) {
        return record(
                of.getField("loan").schema(),
                "lender",
                lease.lender(),
                "epoch",
                lease.epoch(),
                "number",
                lease.number(),
                "units",
                lease.units());
    }

    private static GenericRecord body(Schema union, ClusterMessage message) {
        if (message instanceof ClusterMessage.OfMembers members) {
            return body(union, members.message());
        } else if (message instanceof ClusterMessage.OfShares shares) {
            Schema of = kind(union, "Shares");
            Schema messages =
                    of.getField("shares").schema().getElementType().getField("message").schema();
            return record(
                    of,
                    "shares",
                    records(
                            of,
                            "shares",
                            shares.shares(),
                            one ->
                                    new Object[] {
                                        "bound",
                                        one.bound(),
                                        "message",
                                        message(messages, one.message())
                                    }));
        }
        var told = (ClusterMessage.OfNews) message;
        Schema of = kind(union, "Told");
        return record(
                of,
                "counts",
                records(
                        of,
                        "counts",
                        told.counts(),
                        one ->
                                new Object[] {
                                    "life", one.life(), "key", one.key(), "total", one.total()
                                }),
                "sightings",
                records(
                        of,
                        "sightings",
                        told.sightings(),
                        one ->
                                new Object[] {
                                    "site",
                                    one.observerSite(),
                                    "server",
                                    one.server(),
                                    "serverSite",
                                    one.serverSite(),
                                    "startedAtMs",
                                    one.serverStartedAtMs(),
                                    "good",
                                    (float) one.good(),
                                    "bad",
                                    (float) one.bad(),
                                    "number",
                                    one.number()
                                }));
    }

    private static GenericRecord body(Schema union, MemberMessage message) {
        Schema of = kind(union, message.getClass().getSimpleName());
        List<GenericRecord> news = news(of, message.news());
        if (message instanceof MemberMessage.Ping ping) {
            return record(of, "number", ping.number(), "news", news);
        } else if (message instanceof MemberMessage.Ack ack) {
            return record(of, "number", ack.number(), "news", news);
        } else if (message instanceof MemberMessage.PingFor please) {
            return record(of, "number", please.number(), "target", please.target(), "news", news);
        } else if (message instanceof MemberMessage.Compare compare) {
            return record(of, "digest", compare.digest(), "news", news);
        }
        return record(of, "back", ((MemberMessage.Table) message).back(), "news", news);
    }

    private static GenericRecord message(Schema union, QuotaMessage message) {
        Schema of = kind(union, message.getClass().getSimpleName());
        if (message instanceof QuotaMessage.Ask ask) {
            return record(of, "epoch", ask.epoch(), "request", ask.request(), "units", ask.units());
        } else if (message instanceof QuotaMessage.Grant grant) {
            return record(
                    of,
                    "epoch",
                    grant.askerEpoch(),
                    "request",
                    grant.request(),
                    "loan",
                    loan(of, grant.loan()));
        } else if (message instanceof QuotaMessage.Nothing nothing) {
            return record(of, "epoch", nothing.askerEpoch(), "request", nothing.request());
        }
        if (message instanceof QuotaMessage.Renew renew) {
            return record(
                    of,
                    "epoch",
                    renew.epoch(),
                    "request",
                    renew.request(),
                    "loan",
                    loan(of, renew.loan()));
        } else if (message instanceof QuotaMessage.Renewed renewed) {
            return record(
                    of,
                    "epoch",
                    renewed.askerEpoch(),
                    "request",
                    renewed.request(),
                    "loan",
                    loan(of, renewed.loan()));
        }
        return record(of, "loan", loan(of, ((QuotaMessage.Return) message).loan()));
    }

    // ---- Records to letters ----

    private static String text(GenericRecord record, String field) {
        return record.get(field).toString();
    }

    private static List<GenericRecord> items(GenericRecord record, String field) {
        var items = new ArrayList<GenericRecord>();
        for (Object one : (Iterable<?>) record.get(field)) {
            items.add((GenericRecord) one);
        }
        if (items.size() > MOST_ITEMS) {
            throw new IllegalArgumentException(items.size() + " in " + field);
        }
        return items;
    }

    private static List<MemberUpdate> news(GenericRecord record) {
        return items(record, "news").stream()
                .map(
                        one ->
                                new MemberUpdate(
                                        text(one, "name"),
                                        text(one, "site"),
                                        (long) one.get("life"),
                                        (int) one.get("incarnation"),
                                        MemberUpdate.State.valueOf(text(one, "state"))))
                .toList();
    }

    private static Lease loan(GenericRecord record) {
        var loan = (GenericRecord) record.get("loan");
        return new Lease(
                text(loan, "lender"),
                (long) loan.get("epoch"),
                (long) loan.get("number"),
                (int) loan.get("units"));
    }

    private static ClusterMessage letter(String from, GenericRecord body) {
        String kind = body.getSchema().getName();
        return switch (kind) {
            case "Ping" ->
                    new ClusterMessage.OfMembers(
                            new MemberMessage.Ping((long) body.get("number"), news(body)));
            case "Ack" ->
                    new ClusterMessage.OfMembers(
                            new MemberMessage.Ack((long) body.get("number"), news(body)));
            case "PingFor" ->
                    new ClusterMessage.OfMembers(
                            new MemberMessage.PingFor(
                                    (long) body.get("number"), text(body, "target"), news(body)));
            case "Compare" ->
                    new ClusterMessage.OfMembers(
                            new MemberMessage.Compare((long) body.get("digest"), news(body)));
            case "Table" ->
                    new ClusterMessage.OfMembers(
                            new MemberMessage.Table((boolean) body.get("back"), news(body)));
            case "Shares" ->
                    new ClusterMessage.OfShares(
                            items(body, "shares").stream()
                                    .map(
                                            one ->
                                                    new ClusterMessage.OfShare(
                                                            text(one, "bound"),
                                                            message(
                                                                    (GenericRecord)
                                                                            one.get("message"))))
                                    .toList());
            case "Told" ->
                    new ClusterMessage.OfNews(
                            items(body, "counts").stream()
                                    .map(
                                            one ->
                                                    new CounterValue(
                                                            from,
                                                            (long) one.get("life"),
                                                            text(one, "key"),
                                                            (long) one.get("total")))
                                    .toList(),
                            items(body, "sightings").stream()
                                    .map(
                                            one ->
                                                    new Observation(
                                                            from,
                                                            text(one, "site"),
                                                            text(one, "server"),
                                                            text(one, "serverSite"),
                                                            (double) one.get("startedAtMs"),
                                                            (float) one.get("good"),
                                                            (float) one.get("bad"),
                                                            (long) one.get("number")))
                                    .toList());
            default -> throw new IllegalArgumentException("a body called " + kind);
        };
    }

    private static QuotaMessage message(GenericRecord record) {
        String kind = record.getSchema().getName();
        return switch (kind) {
            case "Ask" ->
                    new QuotaMessage.Ask(
                            (long) record.get("epoch"),
                            (long) record.get("request"),
                            (int) record.get("units"));
            case "Grant" ->
                    new QuotaMessage.Grant(
                            (long) record.get("epoch"), (long) record.get("request"), loan(record));
            case "Nothing" ->
                    new QuotaMessage.Nothing(
                            (long) record.get("epoch"), (long) record.get("request"));
            case "Renew" ->
                    new QuotaMessage.Renew(
                            (long) record.get("epoch"), (long) record.get("request"), loan(record));
            case "Renewed" ->
                    new QuotaMessage.Renewed(
                            (long) record.get("epoch"), (long) record.get("request"), loan(record));
            case "Return" -> new QuotaMessage.Return(loan(record));
            default -> throw new IllegalArgumentException("a message called " + kind);
        };
    }
}
