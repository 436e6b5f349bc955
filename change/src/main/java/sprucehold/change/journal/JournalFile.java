package sprucehold.change.journal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.version.JournalEntry;
import sprucehold.change.version.Version;

/**
 * A file of lines, one an entry: its CRC-32C in eight hex digits, a space, JSON. One process owns
 * it by a lock. Lines are appended and synced; at the first that isn't whole the journal ends, and
 * what comes after it is cut off. Not safe for threads.
 */
public final class JournalFile implements Closeable {
    /** A thousand versions of large documents take less; a larger file is none of ours. */
    private static final long MOST_BYTES = 1L << 30;

    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private final FileChannel channel;
    private final List<JournalEntry> entries = new ArrayList<>();
    private String cutOff;

    private JournalFile(Path file) throws IOException {
        channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        try {
            lock(file);
            read(file);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * @throws IOException where the file can't be read or written, or another process has it
     */
    public static JournalFile open(Path file) throws IOException {
        return new JournalFile(file);
    }

    private void lock(Path file) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return;
            }
        } catch (OverlappingFileLockException e) {
            // Held by this very process.
        }
        throw new IOException(file + " is another gatherer's: each needs a journal of its own");
    }

    private void read(Path file) throws IOException {
        if (channel.size() > MOST_BYTES) {
            throw new IOException(
                    file
                            + " has "
                            + channel.size()
                            + " bytes, at most "
                            + MOST_BYTES
                            + " were expected");
        }
        byte[] all = new byte[(int) channel.size()];
        ByteBuffer bytes = ByteBuffer.wrap(all);
        while (bytes.hasRemaining() && channel.read(bytes) >= 0) {
            continue;
        }
        int from = 0;
        int line = 1;
        while (from < all.length) {
            int to = from;
            while (to < all.length && all[to] != '\n') {
                to++;
            }
            JournalEntry entry = to == all.length ? null : decode(all, from, to);
            if (entry == null) {
                cutOff =
                        file
                                + ", line "
                                + line
                                + ": not whole; it and what comes after it is left out";
                break;
            }
            entries.add(entry);
            from = to + 1;
            line++;
        }
        channel.truncate(from);
        channel.position(from);
    }

    /** What the file held when it was opened. */
    public List<JournalEntry> entries() {
        return List.copyOf(entries);
    }

    /** What was wrong with its end, or null where nothing was. */
    public String cutOff() {
        return cutOff;
    }

    /** Appends an entry and waits until the disk has it. */
    public void write(JournalEntry entry) throws IOException {
        byte[] json = MAPPER.writeValueAsBytes(encode(entry));
        ByteBuffer line = ByteBuffer.allocate(json.length + 10);
        line.put(
                        String.format("%08x ", crc(json, 0, json.length))
                                .getBytes(StandardCharsets.US_ASCII))
                .put(json)
                .put((byte) '\n')
                .flip();
        while (line.hasRemaining()) {
            channel.write(line);
        }
        channel.force(false);
    }

    private static int crc(byte[] bytes, int from, int to) {
        var crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    private static JournalEntry decode(byte[] all, int from, int to) {
        try {
            if (to - from < 11 || all[from + 8] != ' ') {
                return null;
            }
            int stated =
                    Integer.parseUnsignedInt(
                            new String(all, from, 8, StandardCharsets.US_ASCII), 16);
            if (stated != crc(all, from + 9, to)) {
                return null;
            }
            return decode(MAPPER.readTree(all, from + 9, to - from - 9));
        } catch (IOException | NumberFormatException e) {
            return null;
        }
    }

    private static ObjectNode encode(JournalEntry entry) throws JsonProcessingException {
        ObjectNode node = MAPPER.createObjectNode();
        if (entry instanceof JournalEntry.Accepted accepted) {
            Version version = accepted.version();
            try {
                node.put("accepted", version.number())
                        .put("madeFrom", version.madeFrom())
                        .put("by", version.by())
                        .put("undoes", version.undoes())
                        .put("id", accepted.id())
                        .set("document", MAPPER.readTree(DocumentReader.write(version.document())));
            } catch (IOException e) {
                throw new IllegalStateException("a document has no JSON form", e);
            }
        } else if (entry instanceof JournalEntry.Live live) {
            node.put("live", live.number());
        } else if (entry instanceof JournalEntry.Confirmed confirmed) {
            node.put("confirmed", confirmed.number());
        } else if (entry instanceof JournalEntry.Dropped dropped) {
            node.put("dropped", dropped.number()).put("why", dropped.why());
        } else if (entry instanceof JournalEntry.Retried retried) {
            node.put("retried", retried.number());
        } else {
            node.put("ended", true);
        }
        return node;
    }

    private static JournalEntry decode(JsonNode node) throws IOException {
        if (node.has("accepted")) {
            DocumentReader.Read read =
                    DocumentReader.read(MAPPER.writeValueAsBytes(node.path("document")));
            if (!(read instanceof DocumentReader.Read.Good good)) {
                return null;
            }
            ConfigurationDocument document = good.document();
            return new JournalEntry.Accepted(
                    new Version(
                            node.get("accepted").longValue(),
                            node.path("madeFrom").longValue(),
                            document,
                            node.path("by").asText(),
                            node.path("undoes").longValue()),
                    node.path("id").asText());
        } else if (node.has("live")) {
            return new JournalEntry.Live(node.get("live").longValue());
        } else if (node.has("confirmed")) {
            return new JournalEntry.Confirmed(node.get("confirmed").longValue());
        } else if (node.has("dropped")) {
            return new JournalEntry.Dropped(
                    node.get("dropped").longValue(), node.path("why").asText());
        } else if (node.has("retried")) {
            return new JournalEntry.Retried(node.get("retried").longValue());
        }
        return node.has("ended") ? new JournalEntry.Ended() : null;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
