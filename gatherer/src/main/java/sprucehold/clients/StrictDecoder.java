package sprucehold.clients;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;

/**
 * HTTP decoder of Vert.x that decodes a request only once the one before it is answered, and a
 * bounded part of the input in each pass over the sockets. A decoded request occupies many times
 * its bytes, so requests wait undecoded. What it may not decode yet stays in its buffer; {@link
 * RequestInput} makes it go on.
 *
 * <p>It also limits the number of header fields, since a field of a few bytes occupies hundreds of
 * bytes once it is decoded, and reserves the memory of each head.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    /**
     * Limit on the header fields and trailer fields of a request; several times the usual number.
     */
    static final int MAX_FIELDS = 64;

    /** Memory of a decoded header field beside its bytes: its objects and references. */
    private static final int FIELD_BYTES = 192;

    /** Thrown if the memory of all clients doesn't suffice for a head. */
    static final class NoMemoryException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NoMemoryException() {
            super("the requests of all clients occupy too much memory");
        }
    }

    private final ClientMemory.Account memory;
    private final DecodeBudget.Share budget;

    private int fields;
    private long headBytes;
    private boolean headComplete;
    private boolean answerPending;
    private boolean stopped;

    /**
     * @param memory memory of the connection
     * @param budget limits the work in each pass
     */
    StrictDecoder(
            HttpServerOptions options, ClientMemory.Account memory, DecodeBudget.Share budget) {
        super(options);
        this.memory = memory;
        this.budget = budget;
    }

    /** Returns whether a complete request was decoded whose answer is not written yet. */
    boolean isAnswerPending() {
        return answerPending;
    }

    /** Returns how many bytes wait to be decoded. */
    int waitingBytes() {
        return actualReadableBytes();
    }

    /** Returns the size of the buffer that holds the waiting bytes. */
    int bufferBytes() {
        return internalBuffer().capacity();
    }

    /** Permits the next request to be decoded. */
    void answerWritten() {
        answerPending = false;
        memory.resize(ClientMemory.Use.HEAD, 0);
    }

    /** Makes the decoder drop all input that is not decoded yet, and all further input. */
    void stop() {
        stopped = true;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
            throws Exception {
        if (stopped || !context.channel().isActive()) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (answerPending || !budget.take()) {
            return;
        }
        int readableBefore = bytes.readableBytes();
        super.decode(context, bytes, out);
        if (!headComplete) {
            headBytes += readableBefore - bytes.readableBytes();
            headComplete = !out.isEmpty();
            reserveHead(bytes, out);
        }
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            answerPending = true;
            headComplete = false;
            headBytes = 0;
        }
    }

    /** Reserves the memory of the head as decoded so far; fails the request if there is none. */
    private void reserveHead(ByteBuf bytes, List<Object> out) {
        if (!memory.resize(ClientMemory.Use.HEAD, headBytes + (long) fields * FIELD_BYTES)) {
            fail(new NoMemoryException(), bytes, out);
        }
    }

    /**
     * Replaces what was decoded of a request by an invalid request, and drops all further input: it
     * isn't known, or doesn't matter, where the next request begins.
     */
    private void fail(RuntimeException cause, ByteBuf bytes, List<Object> out) {
        stopped = true;
        bytes.skipBytes(bytes.readableBytes());
        out.clear();
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(DecoderResult.failure(cause));
        out.add(invalid);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        fields = 0;
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Transfer-Encoding and Content-Length");
    }
}
