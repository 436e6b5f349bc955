package sprucehold.clients;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import sprucehold.picker.Answer;
import sprucehold.picker.Scan;

/** What the way of a client's scan through this package runs, without a socket: for a warm-up where none are granted. */
public final class DryClient {
    private final EmbeddedChannel decoder = new EmbeddedChannel(new StrictDecoder(new HttpServerOptions()));
    private final ScanReader reader;
    private final int segments;
    private int asked;

    /** {@code segments} is how many segments there are. */
    public DryClient(int segments) {
        this.segments = segments;
        this.reader = new ScanReader(segments);
    }

    /** A scan of so many parts, read as one that came. */
    public Scan scan(String tableType, int parts) {
        var buckets = new StringBuilder();
        for (int i = 0; i < parts; i++) {
            buckets.append(i == 0 ? "" : ",").append("{\"bucket\":").append((asked + i) % segments).append(",\"part\":")
                    .append(1.0 / parts).append('}');
        }
        String body = "{\"buckets\":[" + buckets + "],\"body\":\"c41e77d0\"}";
        String id = "warm-up-" + asked++;
        decoder.writeInbound(Unpooled.copiedBuffer("POST /" + tableType + " HTTP/1.1\r\nHost: warm-up\r\nX-Request-Id: " + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, StandardCharsets.UTF_8));
        for (Object read = decoder.readInbound(); read != null; read = decoder.readInbound()) {
            ReferenceCountUtil.release(read);
        }
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("X-Request-Id", id).add("X-Class", tableType)
                .add("X-Tenant", "none").add("X-Deadline-Ms", "2000");
        try {
            return reader.read(tableType, headers, body.getBytes(StandardCharsets.UTF_8), 0);
        } catch (ScanReader.MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes an answer as one that goes out, to nobody. */
    public void answer(Answer answer) {
        if (answer instanceof Answer.Completed completed) {
            AnswerWriter.body(completed);
        }
    }
}
