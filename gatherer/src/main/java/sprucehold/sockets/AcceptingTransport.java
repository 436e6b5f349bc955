package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ServerChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;

/** The usual transport, with listeners that go on right after a failed accept. */
public final class AcceptingTransport implements Transport {
    private final io.vertx.core.spi.transport.Transport sockets = new NioTransport() {
        @Override
        public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
            return domainSocket ? super.serverChannelFactory(true) : AcceptingServerChannel::new;
        }
    };

    /** How long a connection may have waited in the backlog for failed accepts, in milliseconds; 0 for most. */
    public static double waitedMs(Channel connection) {
        return AcceptingServerChannel.waitedMs(connection);
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
        return sockets;
    }
}
