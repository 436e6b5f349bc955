package sprucehold.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import sprucehold.coordinator.Answer;
import sprucehold.coordinator.Query;

/**
 * Runs this package's code for reading a query and writing its answer without a socket. Used for
 * the warm-up where the process may not open sockets.
 */
public final class StubClient {
    private final StrictDecoder strictDecoder =
            new StrictDecoder(
                    new HttpServerOptions(),
                    new ClientMemory(RequestBody.MAX_BYTES, 0).open(),
                    new DecodeBudget().share());
    private final EmbeddedChannel decoder = new EmbeddedChannel(strictDecoder);
    private final QueryReader reader;

    /**
     * @param shards number of shards
     */
    public StubClient(int shards) {
        this.reader = new QueryReader(shards);
    }

    /**
     * Reads a query from a complete HTTP request.
     *
     * @throws IllegalArgumentException if the request isn't a valid query
     */
    public Query read(String request) {
        decoder.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.UTF_8));
        HttpRequest head = decoder.readInbound();
        ByteBuf body = Unpooled.buffer();
        for (HttpContent content = decoder.readInbound();
                content != null;
                content = decoder.readInbound()) {
            body.writeBytes(content.content());
            content.release();
        }
        strictDecoder.answerWritten();
        try {
            return reader.read(
                    head.uri().substring(1),
                    (MultiMap) head.headers(),
                    new ByteBufInputStream(body),
                    0);
        } catch (QueryReader.MalformedException e) {
            throw new IllegalArgumentException("not a query: " + request, e);
        }
    }

    /** Formats the body of a completed answer and discards it. */
    public void write(Answer answer) {
        if (answer instanceof Answer.Completed completed) {
            AnswerWriter.body(completed);
        }
    }
}
