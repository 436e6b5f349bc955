package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Query;

/**
 * The frames that a gatherer sends. A frame is the length of what follows (4 bytes, little endian),
 * a letter and the rest:
 *
 * <table>
 *   <caption>Frames to shard servers</caption>
 *   <tr><th>letter</th><th>our term</th><th>rest</th></tr>
 *   <tr><td>{@code A}</td><td>attempts of parts of one query</td>
 *       <td>for each part a line {@code PART SHARD LIST LENGTH}, then LENGTH bytes of the query's
 *       body</td></tr>
 *   <tr><td>{@code B}</td><td>cancellation of an attempt</td><td>the part's id</td></tr>
 *   <tr><td>{@code C}</td><td>health check</td><td>nothing</td></tr>
 *   <tr><td>{@code D}</td><td>health check that asks for a load report</td><td>nothing</td></tr>
 * </table>
 *
 * LIST holds, separated by commas: {@code d=}, the milliseconds that the part is still waited for;
 * {@code k=}, the idempotency key, where the client sent one.
 */
final class GathererFrame {
    private static final char ATTEMPTS = 'A';
    private static final char CANCELLATION = 'B';
    private static final char HEALTH_CHECK = 'C';
    private static final char HEALTH_CHECK_WITH_LOAD = 'D';
    private static final int LENGTH_BYTES = 4;

    private GathererFrame() {}

    /**
     * Attempts of parts of one query. The timeout told counts from the write, which a connection
     * that comes up late puts off.
     */
    static Buffer attempts(List<Attempt> attempts, double nowMs) {
        Buffer rest = Buffer.buffer();
        for (Attempt attempt : attempts) {
            byte[] body = attempt.query().body().bytes();
            rest.appendString(line(attempt, body.length, nowMs)).appendBytes(body);
        }
        return frame(ATTEMPTS, rest);
    }

    private static String line(Attempt attempt, int bodyLength, double nowMs) {
        long timeLeftMs = Math.max(1, (long) attempt.timeLeftMs(nowMs));
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

    /** The answer to a part isn't wanted any more. */
    static Buffer cancellation(String partId) {
        return frame(CANCELLATION, Buffer.buffer(partId.getBytes(StandardCharsets.UTF_8)));
    }

    static Buffer healthCheck() {
        return frame(HEALTH_CHECK, Buffer.buffer());
    }

    static Buffer healthCheckWithLoad() {
        return frame(HEALTH_CHECK_WITH_LOAD, Buffer.buffer());
    }

    private static Buffer frame(char letter, Buffer rest) {
        return Buffer.buffer(LENGTH_BYTES + 1 + rest.length())
                .appendIntLE(1 + rest.length())
                .appendByte((byte) letter)
                .appendBuffer(rest);
    }
}
