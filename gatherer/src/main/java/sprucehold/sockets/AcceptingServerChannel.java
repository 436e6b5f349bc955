package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A listener that goes on right after a failed accept (accept(2): ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM). Netty's own stops
 * accepting for a second after each, in which whole requests wait in the backlog of the system.
 */
class AcceptingServerChannel extends NioServerSocketChannel {
    private static final Logger LOG = Logger.getLogger(AcceptingServerChannel.class.getName());
    /** Where descriptors are short, trying without a pause would only spend the core. */
    private static final long RETRY_MS = 10;
    private static final long TELL_EACH_NANOS = 1_000_000_000L;
    private static final AttributeKey<Double> WAITED = AttributeKey.valueOf(AcceptingServerChannel.class, "waited");

    private long failingSince;
    private boolean failing;
    private long failures;
    private long toldAt = System.nanoTime() - TELL_EACH_NANOS;

    /** How long a connection may have waited for failed accepts, in milliseconds. */
    static double waitedMs(Channel connection) {
        Double waited = connection.attr(WAITED).get();
        return waited == null ? 0 : waited;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        int before = accepted.size();
        int read;
        try {
            read = accept(accepted);
        } catch (IOException e) {
            failed(e);
            return 0;
        }
        if (accepted.size() == before) {
            failing = false;
        } else if (failing) {
            double waitedMs = (System.nanoTime() - failingSince) / 1e6;
            accepted.subList(before, accepted.size()).forEach(one -> ((Channel) one).attr(WAITED).set(waitedMs));
        }
        return read;
    }

    /** Takes the next connection that waits, if one does. */
    int accept(List<Object> accepted) throws Exception {
        return super.doReadMessages(accepted);
    }

    private void failed(IOException why) {
        long now = System.nanoTime();
        if (!failing) {
            failing = true;
            failingSince = now;
        }
        failures++;
        if (now - toldAt >= TELL_EACH_NANOS) {
            toldAt = now;
            LOG.log(Level.WARNING, "a connection could not be accepted, " + failures + " failures so far: " + why.getMessage());
        }
        config().setAutoRead(false);
        eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MS, TimeUnit.MILLISECONDS);
    }
}
