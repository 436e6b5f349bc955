package sprucehold.clients;

import io.netty.channel.Channel;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.sockets.AcceptingTransport;

/**
 * Sets up each connection that a client opens, and has those that {@link ClientConnections} finds
 * too many or too old closed a pass over the sockets later, so that what they have sent is read
 * first.
 */
final class ConnectionAdmission {
    private static final Logger LOG = Logger.getLogger(ConnectionAdmission.class.getName());

    /** How much is read at once: a request of the usual size several times over. */
    private static final int READ_BYTES = 4096;

    /**
     * What a connection brings into one pass over the sockets: others are read and decided upon
     * between two parts of a flood.
     */
    private static final int READS_A_PASS = 2;

    /** The shortest timer; it comes after the sockets were read once. */
    private static final int NEXT_PASS_MS = 1;

    private static final String HTTP_DECODER = "httpDecoder";

    private final Vertx vertx;
    private final ClientConnections<HttpConnection> connections;
    private final ReadingPasses passes;
    private final DoubleSupplier clock;
    private final HttpServerOptions options;
    private final long lingerMs;
    private boolean surplusCloseDue;
    private boolean markedCloseDue;
    private long floods;

    /**
     * @param lingerMs how long a close waits for the other side's, in milliseconds
     */
    ConnectionAdmission(
            Vertx vertx,
            ClientConnections<HttpConnection> connections,
            ReadingPasses passes,
            DoubleSupplier clock,
            HttpServerOptions options,
            long lingerMs) {
        this.vertx = vertx;
        this.connections = connections;
        this.passes = passes;
        this.clock = clock;
        this.options = options;
        this.lingerMs = lingerMs;
    }

    /** Takes a connection that was accepted. */
    void opened(HttpConnection connection) {
        Channel channel = ChannelCloser.channel(connection);
        // A size of its own: one that adapts would shrink with each look at a socket that has
        // nothing.
        channel.config()
                .setRecvByteBufAllocator(
                        new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(READS_A_PASS));
        connection.exceptionHandler(failure -> LOG.log(Level.FINE, "client connection", failure));
        connection.closeHandler(none -> connections.closed(connection));
        var closing =
                new LingeringClose(
                        lingerMs,
                        () -> passes.reading(channel.eventLoop()),
                        () -> flooded(connection),
                        () -> connections.closingByHttpServer(connection));
        channel.pipeline()
                .addFirst(closing)
                .replace(HTTP_DECODER, HTTP_DECODER, new StrictDecoder(options));
        double connectedSinceMs =
                clock.getAsDouble() - AcceptingTransport.backlogSeenEmptyMsAgo(channel);
        if (connections.opened(connection, connectedSinceMs)) {
            closeSurplusInNextPass();
        }
    }

    /** A burst isn't a flood: what the connections have sent is read first. */
    private void closeSurplusInNextPass() {
        if (!surplusCloseDue) {
            surplusCloseDue = true;
            vertx.setTimer(
                    NEXT_PASS_MS,
                    timer -> {
                        surplusCloseDue = false;
                        connections.closeSurplus();
                    });
        }
    }

    /** Has marked connections closed a pass over the sockets later, if there are any. */
    void closeMarkedIf(boolean anyMarked) {
        if (anyMarked && !markedCloseDue) {
            markedCloseDue = true;
            vertx.setTimer(
                    NEXT_PASS_MS,
                    timer -> {
                        markedCloseDue = false;
                        connections.closeMarked();
                    });
        }
    }

    private void flooded(HttpConnection connection) {
        floods++;
        connections.flooded(connection);
    }

    /** How many connections sent more at once than may wait. */
    long floods() {
        return floods;
    }
}
