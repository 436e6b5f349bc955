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
 * Listening channel that bounds how long each connection can have waited in the listen backlog
 * before it was accepted: it records when the backlog was last observed empty. Connections wait
 * there, with whole requests already sent on them, while accepts fail, while the process is
 * stopped, and while more connections are opened than one pass of the event loop accepts. While no
 * connections arrive, the channel polls the backlog at a fixed interval to keep this time recent.
 *
 * <p>After a failed accept (accept(2): ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM) it retries
 * within milliseconds. Netty's own listening channel stops accepting for one second after each
 * failure.
 */
class AcceptingServerChannel extends NioServerSocketChannel {
    private static final Logger LOG = Logger.getLogger(AcceptingServerChannel.class.getName());

    /**
     * Interval between polls of the backlog, in milliseconds. Each poll is one system call; all
     * polls together take under a thousandth of a core.
     */
    static final long BACKLOG_CHECK_MS = 20;

    /**
     * Pause after a failed accept, in milliseconds. While file descriptors are exhausted, retrying
     * without a pause would only use up CPU time.
     */
    private static final long RETRY_MS = 10;

    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * Time at which the backlog was last observed empty before the connection was accepted, by
     * {@link System#nanoTime}.
     */
    private static final AttributeKey<Long> BACKLOG_EMPTY_AT_NANOS =
            AttributeKey.valueOf(AcceptingServerChannel.class, "emptyAt");

    private long backlogEmptyAtNanos;
    private Future<?> backlogChecks;
    private long failures;
    private long loggedAtNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    /**
     * Returns when the backlog was last observed empty before the connection was accepted, by
     * {@link System#nanoTime}. For a connection that another kind of listening channel accepted it
     * returns the current time.
     */
    static long backlogEmptyAtNanos(Channel connection) {
        Long emptyAtNanos = connection.attr(BACKLOG_EMPTY_AT_NANOS).get();
        return emptyAtNanos == null ? System.nanoTime() : emptyAtNanos;
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

    /**
     * Accepts the connections waiting in the backlog, if any. Does nothing during the pause after a
     * failed accept.
     */
    private void checkBacklog() {
        if (isActive() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int before = accepted.size();
        long acceptStartedAtNanos = System.nanoTime();
        int read;
        try {
            read = accept(accepted);
        } catch (IOException e) {
            acceptFailed(e);
            return 0;
        }
        if (accepted.size() == before) {
            backlogEmptyAtNanos = acceptStartedAtNanos;
        } else {
            accepted.subList(before, accepted.size())
                    .forEach(
                            connection ->
                                    ((Channel) connection)
                                            .attr(BACKLOG_EMPTY_AT_NANOS)
                                            .set(backlogEmptyAtNanos));
        }
        return read;
    }

    /** Accepts the next connection from the backlog, if there is one. */
    int accept(List<Object> accepted) throws Exception {
        return super.doReadMessages(accepted);
    }

    // The scheduled task can fail only after the channel is closed, when no more connections are
    // accepted.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void acceptFailed(IOException cause) {
        long now = System.nanoTime();
        failures++;
        if (now - loggedAtNanos >= LOG_INTERVAL_NANOS) {
            loggedAtNanos = now;
            LOG.log(
                    Level.WARNING,
                    "accept failed: " + failures + " failures so far, " + cause.getMessage());
        }
        config().setAutoRead(false);
        eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
