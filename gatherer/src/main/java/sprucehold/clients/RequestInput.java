package sprucehold.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;

/**
 * Controls the input of one connection in front of its decoder. While a query is open it continues
 * to read, in order to detect the client's close, and requests behind it wait undecoded in the
 * decoder's buffer, up to a limit. At other times it stops reading while input waits to be decoded.
 */
final class RequestInput extends ChannelInboundHandlerAdapter {
    /**
     * Limit on the input in bytes that waits behind a request. Clients send one request at a time
     * on a connection, and 16 KiB is enough for dozens of requests of typical size.
     */
    static final int MAX_WAITING_BYTES = 16 * 1024;

    /**
     * Limit on the input in bytes that is dropped behind a request. It allows for a client that has
     * filled the buffers of both ends by the time it reads its last answer; one that sends more is
     * cut off, so that reading its input takes a bounded time.
     */
    private static final int MAX_DROPPED_BYTES = 8 * 1024 * 1024;

    private final StrictDecoder decoder;
    private final ClientMemory.Account memory;
    private final DecodeBudget.Share budget;
    private final PassScheduler passes;
    private final Runnable onOverflow;
    private final Runnable onFlood;

    private ChannelHandlerContext context;
    private boolean queryOpen;
    private boolean ignored;
    private boolean resumeScheduled;
    private long droppedBytes;

    /**
     * @param decoder decoder of the same connection
     * @param memory memory of the connection
     * @param budget what the decoder may use in each pass
     * @param passes schedules work of later passes
     * @param onOverflow called once when the client has sent more than may wait; all input that is
     *     not decoded yet and all further input is dropped
     * @param onFlood called once when the client has sent more than may be dropped
     */
    RequestInput(
            StrictDecoder decoder,
            ClientMemory.Account memory,
            DecodeBudget.Share budget,
            PassScheduler passes,
            Runnable onOverflow,
            Runnable onFlood) {
        this.decoder = decoder;
        this.memory = memory;
        this.budget = budget;
        this.passes = passes;
        this.onOverflow = onOverflow;
        this.onFlood = onFlood;
    }

    /** Returns the input of a connection. */
    static RequestInput of(HttpConnection connection) {
        Channel channel = ChannelCloser.channel(connection);
        return channel.pipeline().get(RequestInput.class);
    }

    /** Returns the memory of the connection. */
    ClientMemory.Account memory() {
        return memory;
    }

    /**
     * Returns whether input is not read because the input before it waits to be decoded. While a
     * query is open, input is always read.
     */
    boolean isHeldBack() {
        return !queryOpen
                && decoder.waitingBytes() > 0
                && (resumeScheduled || decoder.isAnswerPending() || budget.isExhausted());
    }

    /** Records that a query of this connection is open, so that its close has to be detected. */
    void queryOpened() {
        queryOpen = true;
    }

    /** Records that the answer to the current request is being written. */
    void answerBegun() {
        queryOpen = false;
    }

    /** Permits the next request to be decoded, in the next pass over the sockets. */
    void answerWritten() {
        decoder.answerWritten();
        if (decoder.waitingBytes() > 0) {
            scheduleResume();
        }
    }

    /** Drops all input that is not decoded yet, and all further input. */
    void ignore() {
        if (ignored) {
            return;
        }
        ignored = true;
        decoder.stop();
        // Further input is read and dropped, so that the client's close is detected.
        context.channel().config().setAutoRead(true);
        passes.afterThisPass(this::dropWaiting);
    }

    private void dropWaiting() {
        deliverEmpty();
        memory.resize(ClientMemory.Use.INPUT, decoder.bufferBytes());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        this.context = newContext;
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        if (ignored) {
            drop((ByteBuf) message);
            return;
        }
        context.fireChannelRead(message);
        decoded();
    }

    private void drop(ByteBuf bytes) {
        long before = droppedBytes;
        droppedBytes += bytes.readableBytes();
        ReferenceCountUtil.release(bytes);
        if (before <= MAX_DROPPED_BYTES && droppedBytes > MAX_DROPPED_BYTES) {
            onFlood.run();
        }
    }

    /** Applies the limits to what the decoder has left. */
    private void decoded() {
        boolean memoryGranted = memory.resize(ClientMemory.Use.INPUT, decoder.bufferBytes());
        if (!ignored && (!memoryGranted || decoder.waitingBytes() > MAX_WAITING_BYTES)) {
            ignore();
            onOverflow.run();
            return;
        }
        boolean heldBack = isHeldBack();
        if (heldBack && !decoder.isAnswerPending()) {
            scheduleResume();
        }
        context.channel().config().setAutoRead(!heldBack);
    }

    private void scheduleResume() {
        if (!resumeScheduled) {
            resumeScheduled = true;
            passes.inNextPass(this::resume);
        }
    }

    private void resume() {
        resumeScheduled = false;
        if (!ignored) {
            deliverEmpty();
            decoded();
        }
    }

    /** Lets the decoder go on with the input that it has. */
    private void deliverEmpty() {
        if (context.channel().isActive()) {
            context.fireChannelRead(Unpooled.EMPTY_BUFFER);
            context.fireChannelReadComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        ignored = true;
        decoder.stop();
        memory.close();
        context.fireChannelInactive();
    }
}
