package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;

/** NIO transport whose listening channels retry soon after a failed accept. */
public final class RetryingAcceptTransport implements Transport {
    private static final double NANOS_PER_MS = 1e6;

    private final io.vertx.core.spi.transport.Transport delegate =
            new NioTransport() {
                @Override
                public ChannelFactory<? extends ServerChannel> serverChannelFactory(
                        boolean domainSocket) {
                    return domainSocket
                            ? super.serverChannelFactory(true)
                            : AcceptingServerChannel::new;
                }
            };

    /**
     * Returns how long ago, in milliseconds, the backlog was last observed empty before the
     * connection was accepted. The first bytes read on the connection may have arrived at any time
     * since then.
     */
    public static double msSinceBacklogEmpty(Channel connection) {
        long emptyAtNanos = AcceptingServerChannel.backlogEmptyAtNanos(connection);
        return (System.nanoTime() - emptyAtNanos) / NANOS_PER_MS;
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return delegate;
    }
}
