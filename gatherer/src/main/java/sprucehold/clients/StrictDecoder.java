package sprucehold.clients;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;

/**
 * HTTP decoder of Vert.x that decodes a request only once the one before it is answered, and a
 * bounded part of the input in each pass over the sockets. A decoded request occupies many times
 * its bytes, so requests wait undecoded. What it may not decode yet stays in its buffer; {@link
 * RequestInput} makes it go on.
 *
 * <p>It rejects requests whose end is ambiguous. It also limits the number of header fields, since
 * a field of a few bytes occupies hundreds of bytes once it is decoded, and reserves the memory of
 * each head.
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
    private int lengthFields;

    /** Follows the body of the current request; null unless it arrives in chunks. */
    private ChunkSizes chunkSizes;

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
        int from = bytes.readerIndex();
        super.decode(context, bytes, out);
        if (headComplete) {
            checkChunkSizes(bytes, from, out);
        } else {
            headBytes += bytes.readerIndex() - from;
            headComplete = !out.isEmpty();
            reserveHead(bytes, out);
            checkLengths(bytes, out);
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
     * Fails a request whose end another program might see elsewhere, whatever its HTTP version: the
     * bytes behind the nearer end would be a request to one, and part of the body to the other
     * (request smuggling).
     */
    private void checkLengths(ByteBuf bytes, List<Object> out) {
        if (!stopped && !out.isEmpty() && out.get(0) instanceof HttpRequest request) {
            boolean encoded = request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
            chunkSizes = encoded ? new ChunkSizes() : null;
            if (lengthFields > 1 || (encoded && lengthFields > 0)) {
                fail(new IllegalArgumentException("more than one length of a body"), bytes, out);
            } else if (encoded && !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
                fail(new IllegalArgumentException("Transfer-Encoding needs HTTP/1.1"), bytes, out);
            }
        }
    }

    /** Fails a body if the size of a chunk can't be read without loss. */
    private void checkChunkSizes(ByteBuf bytes, int from, List<Object> out) {
        if (chunkSizes != null && !chunkSizes.accept(bytes, from, bytes.readerIndex())) {
            dropAll(bytes, out);
            var invalid = new DefaultLastHttpContent();
            invalid.setDecoderResult(
                    DecoderResult.failure(new IllegalArgumentException("chunk size too long")));
            out.add(invalid);
        }
    }

    /**
     * Replaces what was decoded of a request by an invalid request, and drops all further input: it
     * isn't known, or doesn't matter, where the next request begins.
     */
    private void fail(RuntimeException cause, ByteBuf bytes, List<Object> out) {
        dropAll(bytes, out);
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(DecoderResult.failure(cause));
        out.add(invalid);
    }

    private void dropAll(ByteBuf bytes, List<Object> out) {
        stopped = true;
        bytes.skipBytes(bytes.readableBytes());
        out.forEach(ReferenceCountUtil::release);
        out.clear();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        fields = 0;
        lengthFields = 0;
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        AsciiString name = super.splitHeaderName(line, start, length);
        // Counted here, since the decoder reduces several such fields of HTTP/1.0 to the first.
        if (name.contentEqualsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH)) {
            lengthFields++;
        }
        return name;
    }

    /** Leaves both fields in place, for {@link #checkLengths}. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {}
}
