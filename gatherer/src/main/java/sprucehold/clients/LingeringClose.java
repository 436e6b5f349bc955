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
    private static final int MOST_DROPPED = 256 * 1024;

    /**
     * What may wait unread behind a request. Clients ask one thing at a time on a connection, and
     * 16 KiB hold dozens of requests of the usual size; times all connections it stays far below
     * what the process may hold.
     */
    static final int MOST_HELD = 16 * 1024;

    private enum State {
        OPEN,
        SHUT,
        CLOSED
    }

    /** Is told that more was sent at once than may wait, all of which is dropped. */
    private final Runnable flooded;

    /** Is told when its close begins, whoever asked for it. */
    private final Runnable shutting;

    /** Is told of each read before anything is made of it. */
    private final Runnable reading;

    private final long lingerMs;
    private State state = State.OPEN;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private boolean delivering;
    private boolean flood;
    private int dropped;

    /**
     * @param lingerMs how long it waits for the other side's close
     */
    LingeringClose(long lingerMs, Runnable reading, Runnable flooded, Runnable shutting) {
        this.lingerMs = lingerMs;
        this.reading = reading;
        this.flooded = flooded;
        this.shutting = shutting;
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        ctx.channel().closeFuture().addListener(closed -> promise.trySuccess());
        if (state != State.OPEN) {
            return;
        }
        state = State.SHUT;
        dropHeld();
        shutting.run();
        if (!ctx.channel().isActive() || !(ctx.channel() instanceof DuplexChannel)) {
            cut(ctx);
            return;
        }
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(
                        flushed -> {
                            if (state == State.CLOSED) {
                                return;
                            }
                            if (flushed.isSuccess()) {
                                ((DuplexChannel) ctx.channel()).shutdownOutput();
                                ctx.read();
                            } else {
                                cut(ctx);
                            }
                        });
        ctx.executor().schedule(() -> cut(ctx), lingerMs, TimeUnit.MILLISECONDS);
        ctx.read();
    }

    /** Closes for good. */
    void cut(ChannelHandlerContext ctx) {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            dropHeld();
            ctx.close(ctx.newPromise());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        reading.run();
        if (state != State.OPEN) {
            dropped += ((ByteBuf) msg).readableBytes();
            ReferenceCountUtil.release(msg);
            if (dropped > MOST_DROPPED) {
                cut(ctx);
            }
        } else if (flood) {
            ReferenceCountUtil.release(msg);
        } else if (ctx.channel().config().isAutoRead() && !held.isReadable()) {
            ctx.fireChannelRead(msg);
        } else {
            hold((ByteBuf) msg);
        }
    }

    private void hold(ByteBuf bytes) {
        try {
            if (held.readableBytes() + bytes.readableBytes() > MOST_HELD) {
                flood = true;
                dropHeld();
                flooded.run();
            } else {
                held =
                        held == Unpooled.EMPTY_BUFFER
                                ? Unpooled.buffer(bytes.readableBytes())
                                : held;
                held.writeBytes(bytes);
            }
        } finally {
            bytes.release();
        }
    }

    private void dropHeld() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (state == State.OPEN) {
            ctx.fireChannelReadComplete();
        }
        // Whether or not the HTTP server wants more now, the other side's close has to be seen.
        if (state != State.CLOSED && !ctx.channel().config().isAutoRead()) {
            ctx.read();
        }
    }

    /** The HTTP server reads again: first what it has been spared. */
    @Override
    public void read(ChannelHandlerContext ctx) {
        if (held.isReadable() && !delivering) {
            delivering = true;
            ctx.executor()
                    .execute(
                            () -> {
                                delivering = false;
                                if (state == State.OPEN
                                        && held.isReadable()
                                        && ctx.channel().config().isAutoRead()) {
                                    ByteBuf bytes = held;
                                    held = Unpooled.EMPTY_BUFFER;
                                    ctx.fireChannelRead(bytes);
                                    ctx.fireChannelReadComplete();
                                }
                            });
        }
        ctx.read();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state = State.CLOSED;
        dropHeld();
        ctx.fireChannelInactive();
    }

    /**
     * While it lingers only a broken connection ends it: the HTTP server fires what it could not
     * read once more, after its answer.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (state == State.OPEN) {
            ctx.fireExceptionCaught(cause);
        } else if (cause instanceof IOException) {
            cut(ctx);
        }
    }
}
