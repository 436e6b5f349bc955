package sprucehold.change.journal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.Version;

/**
 * Converts journal entries to and from their stored form, one line per entry. A line is the CRC-32C
 * of its JSON in eight hexadecimal digits, a space, the JSON, and a line feed.
 *
 * <table>
 * <caption>JSON keys of an entry and their names in the code</caption>
 * <tr><th>JSON</th><th>code</th></tr>
 * <tr><td>accepted, madeFrom, by, undoes, document</td><td>{@link Version}: number, basedOn, author,
 *     rollsBack, document</td></tr>
 * <tr><td>id</td><td>{@link JournalEntry.Accepted#proposalId()}</td></tr>
 * <tr><td>live</td><td>{@link JournalEntry.Live}</td></tr>
 * <tr><td>confirmed</td><td>{@link JournalEntry.Confirmed}</td></tr>
 * <tr><td>dropped, why</td><td>{@link JournalEntry.Dropped}: number, reason</td></tr>
 * <tr><td>retried</td><td>{@link JournalEntry.Retried}</td></tr>
 * <tr><td>ended: true</td><td>{@link JournalEntry.ShutDown}</td></tr>
 * </table>
 */
final class JournalLine {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private static final int CHECKSUM_LENGTH = 8;
    private static final int HEXADECIMAL = 16;

    /** Length of the checksum and the space after it. */
    private static final int PREFIX_LENGTH = CHECKSUM_LENGTH + 1;

    /** Length of the shortest line without its line feed; the shortest JSON is {@code {}}. */
    private static final int MIN_LENGTH = PREFIX_LENGTH + 2;

    private JournalLine() {}

    /**
     * Returns the entry's line, including the line feed, in a buffer ready to be written to a
     * channel.
     */
    static ByteBuffer encode(JournalEntry entry) throws IOException {
        byte[] json = MAPPER.writeValueAsBytes(toJson(entry));
        String prefix = String.format("%08x ", checksum(json, 0, json.length));
        return ByteBuffer.allocate(PREFIX_LENGTH + json.length + 1)
                .put(prefix.getBytes(StandardCharsets.US_ASCII))
                .put(json)
                .put((byte) '\n')
                .flip();
    }

    /**
     * Returns the entry in the bytes from {@code from} (inclusive) to {@code to} (exclusive), or
     * empty if the line is damaged or of an unknown kind.
     */
    static Optional<JournalEntry> decode(byte[] bytes, int from, int to) {
        if (to - from < MIN_LENGTH || bytes[from + CHECKSUM_LENGTH] != ' ') {
            return Optional.empty();
        }
        int start = from + PREFIX_LENGTH;
        try {
            String stored = new String(bytes, from, CHECKSUM_LENGTH, StandardCharsets.US_ASCII);
            if (Integer.parseUnsignedInt(stored, HEXADECIMAL) != checksum(bytes, start, to)) {
                return Optional.empty();
            }
            return fromJson(MAPPER.readTree(bytes, start, to - start));
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static int checksum(byte[] bytes, int from, int to) {
        var crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    private static ObjectNode toJson(JournalEntry entry) throws IOException {
        ObjectNode node = MAPPER.createObjectNode();
        if (entry instanceof JournalEntry.Accepted accepted) {
            Version version = accepted.version();
            node.put("accepted", version.number())
                    .put("madeFrom", version.basedOn())
                    .put("by", version.author())
                    .put("undoes", version.rollsBack())
                    .put("id", accepted.proposalId())
                    .set("document", MAPPER.readTree(DocumentReader.write(version.document())));
        } else if (entry instanceof JournalEntry.Live live) {
            node.put("live", live.number());
        } else if (entry instanceof JournalEntry.Confirmed confirmed) {
            node.put("confirmed", confirmed.number());
        } else if (entry instanceof JournalEntry.Dropped dropped) {
            node.put("dropped", dropped.number()).put("why", dropped.reason());
        } else if (entry instanceof JournalEntry.Retried retried) {
            node.put("retried", retried.number());
        } else {
            node.put("ended", true);
        }
        return node;
    }

    private static Optional<JournalEntry> fromJson(JsonNode node) throws IOException {
        if (node.has("accepted")) {
            return toAccepted(node);
        } else if (node.has("live")) {
            return Optional.of(new JournalEntry.Live(node.get("live").longValue()));
        } else if (node.has("confirmed")) {
            return Optional.of(new JournalEntry.Confirmed(node.get("confirmed").longValue()));
        } else if (node.has("dropped")) {
            return Optional.of(
                    new JournalEntry.Dropped(
                            node.get("dropped").longValue(), node.path("why").asText()));
        } else if (node.has("retried")) {
            return Optional.of(new JournalEntry.Retried(node.get("retried").longValue()));
        }
        return node.has("ended") ? Optional.of(new JournalEntry.ShutDown()) : Optional.empty();
    }

    private static Optional<JournalEntry> toAccepted(JsonNode node) throws IOException {
        DocumentReader.ReadResult result =
                DocumentReader.read(MAPPER.writeValueAsBytes(node.path("document")));
        if (!(result instanceof DocumentReader.ReadResult.Valid valid)) {
            return Optional.empty();
        }
        var version =
                new Version(
                        node.get("accepted").longValue(),
                        node.path("madeFrom").longValue(),
                        valid.document(),
                        node.path("by").asText(),
                        node.path("undoes").longValue());
        return Optional.of(new JournalEntry.Accepted(version, node.path("id").asText()));
    }
}
