package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;

/**
 * The usual transport, with listeners that go on right after a failed accept and loops that wait
 * for their timers without polling.
 */
public final class AcceptingTransport implements Transport {
    private static final double NANOS_PER_MS = 1e6;

    private final io.vertx.core.spi.transport.Transport delegate =
            new NioTransport() {
                @Override
                public IoHandlerFactory ioHandlerFactory() {
                    return RoundedUpWaits.around(super.ioHandlerFactory());
                }

                @Override
                public ChannelFactory<? extends ServerChannel> serverChannelFactory(
                        boolean domainSocket) {
                    return domainSocket
                            ? super.serverChannelFactory(true)
                            : AcceptingServerChannel::new;
                }
            };

    /**
     * How long ago the backlog was last seen empty before a connection was accepted, in
     * milliseconds: what is read first on the connection may have come at any time since.
     */
    public static double backlogSeenEmptyMsAgo(Channel connection) {
        long seenEmptyAt = AcceptingServerChannel.backlogSeenEmptyAt(connection);
        return (System.nanoTime() - seenEmptyAt) / NANOS_PER_MS;
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
