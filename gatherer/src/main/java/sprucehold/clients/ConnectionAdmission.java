package sprucehold.clients;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.sockets.RetryingAcceptTransport;

/**
 * Sets up each connection that a client opens. Connections that {@link ClientConnections} selects
 * for closing, because there are too many or they are too old, are closed one event loop pass
 * later, so that the bytes their clients have sent are read first.
 */
final class ConnectionAdmission {
    private static final Logger LOG = Logger.getLogger(ConnectionAdmission.class.getName());

    /** Size of one read, in bytes; several times a request of typical size. */
    private static final int READ_BYTES = 4096;

    /**
     * Limit on the reads from one connection per event loop pass. It lets the event loop read and
     * process other connections' requests while one client sends a large amount of data.
     */
    private static final int READS_PER_PASS = 2;

    /**
     * Delay that ends after the next pass over the sockets, in milliseconds; the shortest possible
     * timer.
     */
    private static final int NEXT_PASS_DELAY_MS = 1;

    private static final String HTTP_DECODER = "httpDecoder";

    private final Vertx vertx;
    private final ClientConnections<HttpConnection> connections;
    private final ReadPassTracker readPasses;
    private final DoubleSupplier clock;
    private final HttpServerOptions options;
    private final long lingerMs;
    private final ClientMemory memory;
    private PassScheduler passes;
    private boolean surplusCloseScheduled;
    private boolean markedCloseScheduled;
    private long overflows;

    /**
     * @param lingerMs time limit for the client's close, in milliseconds
     * @param memory memory of all connections
     */
    ConnectionAdmission(
            Vertx vertx,
            ClientConnections<HttpConnection> connections,
            ReadPassTracker readPasses,
            DoubleSupplier clock,
            HttpServerOptions options,
            long lingerMs,
            ClientMemory memory) {
        this.vertx = vertx;
        this.connections = connections;
        this.readPasses = readPasses;
        this.clock = clock;
        this.options = options;
        this.lingerMs = lingerMs;
        this.memory = memory;
    }

    /** Sets up an accepted connection. */
    void opened(HttpConnection connection) {
        Channel channel = ChannelCloser.channel(connection);
        // The size of a read is fixed, since an adaptive size would shrink with each read from an
        // empty socket.
        channel.config()
                .setRecvByteBufAllocator(
                        new FixedRecvByteBufAllocator(READ_BYTES)
                                .maxMessagesPerRead(READS_PER_PASS));
        connection.exceptionHandler(
                failure -> LOG.log(Level.FINE, "exception on a client connection", failure));
        connection.closeHandler(none -> connections.closed(connection));
        ClientMemory.Account account = memory.open();
        DecodeBudget.Share budget = readPasses.decodeBudget().share();
        var decoder = new StrictDecoder(options, account, budget);
        var input =
                new RequestInput(
                        decoder,
                        account,
                        budget,
                        passScheduler(channel.eventLoop()),
                        () -> inputOverflowed(connection),
                        () -> connections.abort(connection));
        var closing =
                new LingeringClose(
                        lingerMs,
                        () -> readPasses.onRead(channel.eventLoop()),
                        () -> {
                            input.ignore();
                            connections.closingByHttpServer(connection);
                        });
        channel.pipeline().addFirst(closing, input).replace(HTTP_DECODER, HTTP_DECODER, decoder);
        double earliestConnectedAtMs =
                clock.getAsDouble() - RetryingAcceptTransport.msSinceBacklogEmpty(channel);
        if (connections.opened(connection, earliestConnectedAtMs)) {
            closeSurplusInNextPass();
        }
    }

    private PassScheduler passScheduler(EventLoop loop) {
        if (passes == null) {
            passes = new PassScheduler(loop, readPasses);
        }
        return passes;
    }

    /**
     * Schedules the closing of surplus connections after the next pass over the sockets. A short
     * burst of connections is legitimate, so the bytes that their clients have sent are read first.
     */
    private void closeSurplusInNextPass() {
        if (!surplusCloseScheduled) {
            surplusCloseScheduled = true;
            vertx.setTimer(
                    NEXT_PASS_DELAY_MS,
                    timer -> {
                        surplusCloseScheduled = false;
                        connections.closeSurplus();
                    });
        }
    }

    /**
     * Schedules the closing of marked connections after the next pass over the sockets, if there
     * are any.
     */
    void closeMarkedIf(boolean anyMarked) {
        if (anyMarked && !markedCloseScheduled) {
            markedCloseScheduled = true;
            vertx.setTimer(
                    NEXT_PASS_DELAY_MS,
                    timer -> {
                        markedCloseScheduled = false;
                        closeMarkedIf(connections.closeMarked());
                    });
        }
    }

    private void inputOverflowed(HttpConnection connection) {
        overflows++;
        connections.inputOverflowed(connection);
    }

    /** Returns how many connections have exceeded the input buffer limit. */
    long overflows() {
        return overflows;
    }
}
