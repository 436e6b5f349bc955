package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Query;

/** The frames that a gatherer sends. */
final class GathererFrame {
    private GathererFrame() {}

    /**
     * One call: parts of one scan. What is waited for counts from its write, which a late
     * connection puts off.
     */
    static Buffer call(List<Attempt> dispatches, double nowMs) {
        Buffer rest = Buffer.buffer();
        for (Attempt attempt : dispatches) {
            byte[] text = attempt.query().body().bytes();
            long patience = Math.max(1, (long) attempt.timeLeftMs(nowMs));
            rest.appendString(
                            attempt.partId()
                                    + " "
                                    + attempt.shard()
                                    + " "
                                    + list(attempt.query(), patience)
                                    + " "
                                    + text.length
                                    + "\n")
                    .appendBytes(text);
        }
        return frame('A', rest);
    }

    /**
     * What a server is told of a part: the time that it is waited for and, where its client sent
     * one, the idempotency key.
     */
    private static String list(Query query, long patienceMs) {
        return "d=" + patienceMs + query.idempotencyKey().map(key -> ",k=" + key).orElse("");
    }

    static Buffer giveUp(String partId) {
        return frame('B', Buffer.buffer(partId.getBytes(StandardCharsets.UTF_8)));
    }

    static Buffer probe() {
        return frame('C', Buffer.buffer());
    }

    static Buffer loadProbe() {
        return frame('D', Buffer.buffer());
    }

    private static Buffer frame(char letter, Buffer rest) {
        return Buffer.buffer(5 + rest.length())
                .appendIntLE(1 + rest.length())
                .appendByte((byte) letter)
                .appendBuffer(rest);
    }
}
