package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import sprucehold.picker.Dispatch;
import sprucehold.picker.Scan;

/** The frames that a gatherer sends. */
final class GathererFrame {
    private GathererFrame() {}

    /**
     * One call: parts of one scan. What is waited for counts from its write, which a late
     * connection puts off.
     */
    static Buffer call(List<Dispatch> dispatches, double nowMs) {
        Buffer rest = Buffer.buffer();
        for (Dispatch dispatch : dispatches) {
            byte[] text = dispatch.scan().text();
            long patience = Math.max(1, (long) dispatch.patienceLeftMs(nowMs));
            rest.appendString(
                            dispatch.partId()
                                    + " "
                                    + dispatch.segment()
                                    + " "
                                    + list(dispatch.scan(), patience)
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
    private static String list(Scan scan, long patienceMs) {
        return "d=" + patienceMs + scan.idempotencyKey().map(key -> ",k=" + key).orElse("");
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
