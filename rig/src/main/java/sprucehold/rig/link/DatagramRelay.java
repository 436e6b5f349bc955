package sprucehold.rig.link;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayDeque;
import java.util.List;
import sprucehold.rig.fault.LinkConditions;

/**
 * Forwards the datagrams of one directed link; loses, duplicates, delays or reorders them as the
 * faults of the link require.
 */
public final class DatagramRelay {
    private static final int MAX_RECENT = 16;

    private final Vertx vertx;
    private final ShapedConnections connections;
    private final String from;
    private final String to;
    private final int port;
    private final String host;
    private final DatagramSocket socket;

    /** Datagram that is held back until the next one has been forwarded; null if none is. */
    private Buffer heldBack;

    private long receivedCount;

    /**
     * The datagrams received last, as an attacker on the path could have recorded them. {@link
     * Flood} sends them again.
     */
    private final ArrayDeque<Buffer> recent = new ArrayDeque<>();

    /**
     * @param host address to which datagrams are forwarded, at {@code port}
     */
    public DatagramRelay(
            Vertx vertx,
            ShapedConnections connections,
            String from,
            String to,
            String host,
            int port) {
        this.vertx = vertx;
        this.connections = connections;
        this.from = from;
        this.to = to;
        this.host = host;
        this.port = port;
        this.socket = vertx.createDatagramSocket();
    }

    /** Starts to listen. The future completes with the port. */
    public Future<Integer> listen(String at, int listenPort) {
        return socket.handler(packet -> receive(packet.data()))
                .listen(listenPort, at)
                .map(listening -> listening.localAddress().port());
    }

    public Future<Void> close() {
        return socket.close();
    }

    /** Returns the number of datagrams received, including those that were not forwarded. */
    public long receivedCount() {
        return receivedCount;
    }

    /** Returns the datagrams received last, the oldest first. */
    public List<Buffer> recent() {
        return List.copyOf(recent);
    }

    private void receive(Buffer data) {
        receivedCount++;
        recent.add(data);
        if (recent.size() > MAX_RECENT) {
            recent.poll();
        }
        LinkConditions link = connections.linkFaults().conditions(from, to);
        if (link.cut() != null
                || link.halfOpen()
                || connections.random().nextDouble() < link.lose()) {
            return;
        }
        if (heldBack == null && connections.random().nextDouble() < link.reorder()) {
            heldBack = data;
            return;
        }
        forward(data, link);
        if (connections.random().nextDouble() < link.twice()) {
            forward(data, link);
        }
        if (heldBack != null) {
            forward(heldBack, link);
            heldBack = null;
        }
    }

    private void forward(Buffer data, LinkConditions link) {
        double delay = link.delayMs() * (connections.random().nextDouble() < 0.05 ? 4 : 1);
        if (delay < 1) {
            socket.send(data, port, host);
        } else {
            vertx.setTimer((long) delay, late -> socket.send(data, port, host));
        }
    }
}
