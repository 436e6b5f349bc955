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
    static final long LOOK_EACH_MS = 20;

    /** Where descriptors are short, trying without a pause would only spend the core. */
    private static final long RETRY_MS = 10;

    private static final long TELL_EACH_NANOS = 1_000_000_000L;

    /**
     * The moment at which the backlog was last seen empty before the connection was accepted, by
     * {@link System#nanoTime}.
     */
    private static final AttributeKey<Long> EMPTY_AT =
            AttributeKey.valueOf(AcceptingServerChannel.class, "emptyAt");

    private long emptyAt;
    private Future<?> looks;
    private long failures;
    private long toldAt = System.nanoTime() - TELL_EACH_NANOS;

    /**
     * When the backlog was last seen empty before a connection was accepted, by {@link
     * System#nanoTime}; now for one of another listener.
     */
    static long backlogSeenEmptyAt(Channel connection) {
        Long at = connection.attr(EMPTY_AT).get();
        return at == null ? System.nanoTime() : at;
    }

    @Override
    protected void doBind(SocketAddress address) throws Exception {
        emptyAt = System.nanoTime();
        super.doBind(address);
        looks =
                eventLoop()
                        .scheduleWithFixedDelay(
                                this::look, LOOK_EACH_MS, LOOK_EACH_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void doClose() throws Exception {
        if (looks != null) {
            looks.cancel(false);
        }
        super.doClose();
    }

    /** Accepts what waits, which is nothing most of the time, unless an accept has just failed. */
    private void look() {
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
            emptyAt = askedAt;
        } else {
            accepted.subList(before, accepted.size())
                    .forEach(one -> ((Channel) one).attr(EMPTY_AT).set(emptyAt));
        }
        return read;
    }

    /** Takes the next connection that waits, if one does. */
    int accept(List<Object> accepted) throws Exception {
        return super.doReadMessages(accepted);
    }

    private void failed(IOException why) {
        long now = System.nanoTime();
        failures++;
        if (now - toldAt >= TELL_EACH_NANOS) {
            toldAt = now;
            LOG.log(
                    Level.WARNING,
                    "a connection could not be accepted, "
                            + failures
                            + " failures so far: "
                            + why.getMessage());
        }
        config().setAutoRead(false);
        eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
