package sprucehold.rig.link;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import sprucehold.rig.script.Fault;

/** Relays TCP connections from one process to another, with the faults of the link between them. */
public final class TcpRelay {
    private final ShapedConnections connections;
    private final String from;
    private final String to;
    private final SocketAddress target;
    private final NetClient client;
    private final NetServer server;

    public TcpRelay(
            Vertx vertx,
            ShapedConnections connections,
            String from,
            String to,
            SocketAddress target) {
        this.connections = connections;
        this.from = from;
        this.to = to;
        this.target = target;
        this.client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        this.server =
                vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                        .connectHandler(this::accepted);
    }

    /** Starts to listen. The future completes with the port. */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(NetServer::actualPort);
    }

    public Future<Void> close() {
        return client.close().eventually(server::close);
    }

    private void accepted(NetSocket near) {
        if (connections.linkFaults().conditions(from, to).cut() == Fault.Mode.REFUSED) {
            near.close();
            return;
        }
        near.pause();
        client.connect(target)
                .onComplete(
                        far -> {
                            // Only the near end is shaped: bytes that are shaped at both ends would
                            // be delayed twice.
                            var shaped =
                                    connections.shape(
                                            near,
                                            from,
                                            to,
                                            new ShapedSocket.Owner() {
                                                @Override
                                                public void received(Buffer bytes, double readMs) {
                                                    far.write(bytes);
                                                }

                                                @Override
                                                public void closed(boolean byPeer) {
                                                    far.close();
                                                }
                                            });
                            far.handler(shaped::write);
                            far.exceptionHandler(failure -> {});
                            far.closeHandler(none -> shaped.close());
                            near.resume();
                        },
                        failure -> near.close());
    }
}
