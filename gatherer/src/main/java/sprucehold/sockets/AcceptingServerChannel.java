package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A listener that knows how long a connection may have waited in the backlog of the system before
 * it was accepted: since the backlog was last seen empty. Whole requests wait there while accepts
 * fail, while the process stands still and while more connections come than a pass accepts. At rest
 * the backlog is looked at from time to time, so that the knowledge stays fresh.
 *
 * <p>It goes on right after a failed accept (accept(2): ECONNABORTED, EMFILE, ENFILE, ENOBUFS,
 * ENOMEM). Netty's own listener stops accepting for a second after each.
 */
class AcceptingServerChannel extends NioServerSocketChannel {
    private static final Logger LOG = Logger.getLogger(AcceptingServerChannel.class.getName());

    /**
     * How old the knowledge of an empty backlog becomes at rest. One system call each, under a
     * thousandth of a core.
     */
    static final long BACKLOG_CHECK_MS = 20;

    /** Where descriptors are short, trying without a pause would only spend the core. */
    private static final long RETRY_MS = 10;

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * The moment at which the backlog was last seen empty before the connection was accepted, by
     * {@link System#nanoTime}.
     */
    private static final AttributeKey<Long> BACKLOG_EMPTY_AT_NANOS =
            AttributeKey.valueOf(AcceptingServerChannel.class, "emptyAt");

    private long backlogEmptyAtNanos;
    private Future<?> backlogChecks;
    private long failures;
    private long loggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    /**
     * When the backlog was last seen empty before a connection was accepted, by {@link
     * System#nanoTime}; now for one of another listener.
     */
    static long backlogSeenEmptyAt(Channel connection) {
        Long at = connection.attr(BACKLOG_EMPTY_AT_NANOS).get();
        return at == null ? System.nanoTime() : at;
    }

    @Override
    protected void doBind(SocketAddress address) throws Exception {
        backlogEmptyAtNanos = System.nanoTime();
        super.doBind(address);
        backlogChecks =
                eventLoop()
                        .scheduleWithFixedDelay(
                                this::checkBacklog,
                                BACKLOG_CHECK_MS,
                                BACKLOG_CHECK_MS,
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void doClose() throws Exception {
        if (backlogChecks != null) {
            backlogChecks.cancel(false);
        }
        super.doClose();
    }

    /** Accepts what waits, which is nothing most of the time, unless an accept has just failed. */
    private void checkBacklog() {
        if (isActive() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int before = accepted.size();
        long askedAt = System.nanoTime();
        int read;
        try {
            read = accept(accepted);
        } catch (IOException e) {
            failed(e);
            return 0;
        }
        if (accepted.size() == before) {
            backlogEmptyAtNanos = askedAt;
        } else {
            accepted.subList(before, accepted.size())
                    .forEach(
                            one ->
                                    ((Channel) one)
                                            .attr(BACKLOG_EMPTY_AT_NANOS)
                                            .set(backlogEmptyAtNanos));
        }
        return read;
    }

    /** Takes the next connection that waits, if one does. */
    int accept(List<Object> accepted) throws Exception {
        return super.doReadMessages(accepted);
    }

    // The task can fail only once the channel is closed, and then nothing is accepted any more.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void failed(IOException why) {
        long now = System.nanoTime();
        failures++;
        if (now - loggedAtNanos >= LOG_INTERVAL_NANOS) {
            loggedAtNanos = now;
            LOG.log(
                    Level.WARNING,
                    "accept failed: " + failures + " failures so far, " + why.getMessage());
        }
        config().setAutoRead(false);
        eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
