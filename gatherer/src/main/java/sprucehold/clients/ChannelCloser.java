package sprucehold.clients;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import sprucehold.sockets.UnreadInput;

/** Closes clients' connections at the channel, below the HTTP server. */
final class ChannelCloser implements ClientConnections.Closer<HttpConnection> {
    /** Limit on the bytes read before a close; twice the longest request whose length is stated. */
    private static final int MAX_UNREAD_BYTES = 2 * RequestBody.MAX_BYTES;

    /** Returns the channel of a connection. */
    static Channel channel(HttpConnection connection) {
        return ((HttpServerConnection) connection).channelHandlerContext().channel();
    }

    @Override
    public void readUnread(HttpConnection connection) {
        RequestInput input = RequestInput.of(connection);
        UnreadInput.readWhile(channel(connection), MAX_UNREAD_BYTES, () -> !input.isHeldBack());
    }

    /**
     * Bypasses the HTTP server, so that unread answers and pipelined requests that still wait don't
     * delay the close.
     */
    @Override
    public void close(HttpConnection connection) {
        ChannelHandlerContext context = lingeringClose(connection);
        ((LingeringClose) context.handler()).close(context, context.newPromise());
    }

    @Override
    public void closeNow(HttpConnection connection) {
        ChannelHandlerContext context = lingeringClose(connection);
        ((LingeringClose) context.handler()).closeNow(context);
    }

    private static ChannelHandlerContext lingeringClose(HttpConnection connection) {
        return channel(connection).pipeline().context(LingeringClose.class);
    }
}
