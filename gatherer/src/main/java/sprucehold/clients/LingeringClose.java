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
 * Performs every close of a client's connection that the gatherer initiates. It flushes the written
 * output and shuts the output down. Then it reads and discards further input until the client
 * closes too, up to a time limit and a byte limit. Closing a socket with unread bytes would reset
 * the connection, and the kernel would then drop an answer that it had not yet delivered. Input
 * read after the shutdown never reaches the HTTP server, so no query from it is processed.
 *
 * <p>It is the first handler in the pipeline, so every close passes through it.
 */
final class LingeringClose extends ChannelDuplexHandler {
    /**
     * Default time limit for the close of the client, in milliseconds. It is long enough for a
     * client on the same network that has received the answer, and short for a client that never
     * closes.
     */
    static final long LINGER_MS = 500;

    /**
     * Limit on the bytes that are discarded, four times the longest request body. A client that
     * sends more after the shutdown is not reading its answer.
     */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private enum State {
        OPEN,
        /** The output is shut down; input is discarded. */
        LINGERING,
        CLOSED
    }

    private final Runnable onClosing;
    private final Runnable onRead;

    private final long lingerMs;
    private State state = State.OPEN;

    private int discardedBytes;

    /**
     * @param lingerMs time limit for the client's close, in milliseconds
     * @param onRead called on each read, before the bytes are processed
     * @param onClosing called when a lingering close begins, whether {@link ClientConnections} or
     *     the HTTP server initiated it; not called when the client closes first
     */
    LingeringClose(long lingerMs, Runnable onRead, Runnable onClosing) {
        this.lingerMs = lingerMs;
        this.onRead = onRead;
        this.onClosing = onClosing;
    }

    // The returned futures are ignored: Netty also reports a failed write or close through the
    // channel. Only the end of the channel matters here, and channelInactive handles it.
    @SuppressWarnings("FutureReturnValueIgnored")
    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        context.channel().closeFuture().addListener(closed -> promise.trySuccess());
        if (state != State.OPEN) {
            return;
        }
        state = State.LINGERING;
        // Reading may have been paused while a request arrived faster than it could be decoded.
        context.channel().config().setAutoRead(true);
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

    /** Closes the socket at once, without lingering. */
    // The returned futures are ignored: Netty also reports a failed write or close through the
    // channel. Only the end of the channel matters here, and channelInactive handles it.
    @SuppressWarnings("FutureReturnValueIgnored")
    void closeNow(ChannelHandlerContext context) {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            context.close(context.newPromise());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        onRead.run();
        if (state != State.OPEN) {
            discardedBytes += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                closeNow(context);
            }
        } else {
            context.fireChannelRead(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.OPEN) {
            context.fireChannelReadComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = State.CLOSED;
        context.fireChannelInactive();
    }

    /**
     * While the close lingers, only an I/O error closes the socket at once. Other exceptions are
     * ignored: after the HTTP server has answered an unreadable request, it fires the exception for
     * that request a second time.
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
