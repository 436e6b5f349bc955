package sprucehold.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The one way in which a client's connection is closed from our side, whoever asks for it: what was
 * written is flushed, the output is shut, and what still comes is read and dropped until the other
 * side closes too, for a bounded time and number of bytes. A close over unread bytes resets the
 * connection, and the system then drops the answer that it had not yet delivered. Nothing that is
 * read after the shutdown reaches the HTTP server, so it is never sent on.
 *
 * <p>It stands first in the pipeline, where every close passes. Before the shutdown it also reads
 * on where the HTTP server has stopped reading, because requests wait behind another on the
 * connection: a client that leaves would otherwise be noticed only once its requests were sent on,
 * one after the other.
 */
final class LingeringClose extends ChannelDuplexHandler {
    /**
     * Long for a client on the same network that has the answer before it; short for one that never
     * closes.
     */
    static final long LINGER_MS = 500;

    /** Four of the longest bodies: who sends more after the end doesn't listen. */
    private static final int MAX_DROPPED_BYTES = 256 * 1024;

    /**
     * What may wait unread behind a request. Clients ask one thing at a time on a connection, and
     * 16 KiB hold dozens of requests of the usual size; times all connections it stays far below
     * what the process may hold.
     */
    static final int MAX_HELD_BYTES = 16 * 1024;

    private enum State {
        OPEN,
        /** The output is shut; what comes is dropped. */
        LINGERING,
        CLOSED
    }

    private final Runnable onFlood;
    private final Runnable onClosing;
    private final Runnable onRead;

    private final long lingerMs;
    private State state = State.OPEN;

    /** What came and the HTTP server doesn't read yet. */
    private ByteBuf heldBytes = Unpooled.EMPTY_BUFFER;

    private boolean delivering;
    private boolean flooding;
    private int droppedBytes;

    /**
     * @param lingerMs how long it waits for the other side's close, in milliseconds
     * @param onRead is told of each read before anything is made of it
     * @param onFlood is told that more was sent at once than may wait, all of which is dropped
     * @param onClosing is told when its close begins, whoever asked for it
     */
    LingeringClose(long lingerMs, Runnable onRead, Runnable onFlood, Runnable onClosing) {
        this.lingerMs = lingerMs;
        this.onRead = onRead;
        this.onFlood = onFlood;
        this.onClosing = onClosing;
    }

    // Netty tells a failed write or close through the channel, whose end is what counts here.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        if (state != State.OPEN) {
            return;
        }
        state = State.LINGERING;
        dropHeld();
        onClosing.run();
        if (!context.channel().isActive() || !(context.channel() instanceof DuplexChannel)) {
            closeNow(context);
            return;
        }
        context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        flushed -> {
                            if (state == State.CLOSED) {
                                return;
                            }
                            if (flushed.isSuccess()) {
                                ((DuplexChannel) context.channel()).shutdownOutput();
                                context.read();
                            } else {
                                closeNow(context);
                            }
                        });
        context.executor().schedule(() -> closeNow(context), lingerMs, TimeUnit.MILLISECONDS);
        context.read();
    }

    /** Closes for good. */
    // Netty tells a failed write or close through the channel, whose end is what counts here.
    @SuppressWarnings("FutureReturnValueIgnored")
    void closeNow(ChannelHandlerContext context) {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            dropHeld();
            context.close(context.newPromise());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        onRead.run();
        if (state != State.OPEN) {
            droppedBytes += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (droppedBytes > MAX_DROPPED_BYTES) {
                closeNow(context);
            }
        } else if (flooding) {
            ReferenceCountUtil.release(message);
        } else if (context.channel().config().isAutoRead() && !heldBytes.isReadable()) {
            context.fireChannelRead(message);
        } else {
            hold((ByteBuf) message);
        }
    }

    /** Keeps bytes until the HTTP server reads again. */
    private void hold(ByteBuf bytes) {
        try {
            if (heldBytes.readableBytes() + bytes.readableBytes() > MAX_HELD_BYTES) {
                flooding = true;
                dropHeld();
                onFlood.run();
            } else {
                if (!heldBytes.isReadable()) {
                    heldBytes = Unpooled.buffer(bytes.readableBytes());
                }
                heldBytes.writeBytes(bytes);
            }
        } finally {
            bytes.release();
        }
    }

    private void dropHeld() {
        heldBytes.release();
        heldBytes = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.OPEN) {
            context.fireChannelReadComplete();
        }
        // Whether or not the HTTP server wants more now, the other side's close has to be seen.
        if (state != State.CLOSED && !context.channel().config().isAutoRead()) {
            context.read();
        }
    }

    /** The HTTP server reads again: first what it has been spared. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (heldBytes.isReadable() && !delivering) {
            delivering = true;
            context.executor()
                    .execute(
                            () -> {
                                delivering = false;
                                if (state == State.OPEN
                                        && heldBytes.isReadable()
                                        && context.channel().config().isAutoRead()) {
                                    ByteBuf bytes = heldBytes;
                                    heldBytes = Unpooled.EMPTY_BUFFER;
                                    context.fireChannelRead(bytes);
                                    context.fireChannelReadComplete();
                                }
                            });
        }
        context.read();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = State.CLOSED;
        dropHeld();
        context.fireChannelInactive();
    }

    /**
     * While it lingers only a broken connection ends it: the HTTP server fires what it could not
     * read once more, after its answer.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (state == State.OPEN) {
            context.fireExceptionCaught(cause);
        } else if (cause instanceof IOException) {
            closeNow(context);
        }
    }
}
