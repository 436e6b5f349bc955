package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Query;

/**
 * Encodes the frames that a gatherer sends to shard servers. A frame consists of the length of the
 * remaining bytes (4 bytes, little endian), a letter for its type, and its content:
 *
 * <table>
 *   <caption>Frames to shard servers</caption>
 *   <tr><th>letter</th><th>meaning</th><th>content</th></tr>
 *   <tr><td>{@code A}</td><td>attempts of parts of one query</td>
 *       <td>one line {@code PART SHARD LIST LENGTH} per part, each followed by LENGTH bytes
 *       of the query's body</td></tr>
 *   <tr><td>{@code B}</td><td>cancellation of an attempt</td><td>the part's id</td></tr>
 *   <tr><td>{@code C}</td><td>health check</td><td>nothing</td></tr>
 *   <tr><td>{@code D}</td><td>health check that asks for a load report</td><td>nothing</td></tr>
 * </table>
 *
 * LIST is a comma-separated list. {@code d=} is the remaining time in milliseconds until the
 * gatherer stops waiting for the part. {@code k=} is the idempotency key, present if the client
 * sent one.
 */
final class GathererFrame {
    private static final char ATTEMPTS = 'A';
    private static final char CANCELLATION = 'B';
    private static final char HEALTH_CHECK = 'C';
    private static final char HEALTH_CHECK_WITH_LOAD = 'D';
    private static final int LENGTH_BYTES = 4;

    private GathererFrame() {}

    /**
     * Encodes attempts of parts of one query. The timeout in the frame counts from the time of the
     * write, which may be delayed until the connection is established.
     */
    static Buffer attempts(List<Attempt> attempts, double nowMs) {
        var lines = new ArrayList<byte[]>(attempts.size());
        int contentLength = 0;
        for (Attempt attempt : attempts) {
            int bodyLength = attempt.query().body().length();
            byte[] line = line(attempt, bodyLength, nowMs).getBytes(StandardCharsets.UTF_8);
            lines.add(line);
            contentLength += line.length + bodyLength;
        }
        Buffer frame = begin(ATTEMPTS, contentLength);
        for (int i = 0; i < attempts.size(); i++) {
            frame.appendBytes(lines.get(i)).appendBytes(attempts.get(i).query().body().bytes());
        }
        return frame;
    }

    private static String line(Attempt attempt, int bodyLength, double nowMs) {
        long timeLeftMs = Math.max(1, (long) attempt.remainingTimeoutMs(nowMs));
        return attempt.partId()
                + " "
                + attempt.shard()
                + " "
                + list(attempt.query(), timeLeftMs)
                + " "
                + bodyLength
                + "\n";
    }

    private static String list(Query query, long timeLeftMs) {
        return "d=" + timeLeftMs + query.idempotencyKey().map(key -> ",k=" + key).orElse("");
    }

    /** Encodes the cancellation of an attempt. */
    static Buffer cancellation(String partId) {
        byte[] content = partId.getBytes(StandardCharsets.UTF_8);
        return begin(CANCELLATION, content.length).appendBytes(content);
    }

    static Buffer healthCheck() {
        return begin(HEALTH_CHECK, 0);
    }

    static Buffer healthCheckWithLoad() {
        return begin(HEALTH_CHECK_WITH_LOAD, 0);
    }

    /** Returns a frame without its content, with capacity for it. */
    private static Buffer begin(char letter, int contentLength) {
        return Buffer.buffer(LENGTH_BYTES + 1 + contentLength)
                .appendIntLE(1 + contentLength)
                .appendByte((byte) letter);
    }
}
