package sprucehold.rig.link;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayDeque;
import java.util.List;
import sprucehold.rig.fault.Treatment;

/**
 * Passes datagrams of one directed link on, or loses, doubles, delays and reorders them as its
 * faults say.
 */
public final class DatagramRelay {
    private static final int RECENT = 16;

    private final Vertx vertx;
    private final Wires wires;
    private final String from;
    private final String to;
    private final int port;
    private final String host;
    private final DatagramSocket socket;

    /** Held back to come after the next one. */
    private Buffer overtaken;

    private long read;

    /** The last few that it read, as who listens on the way may have kept them. */
    private final ArrayDeque<Buffer> recent = new ArrayDeque<>();

    /**
     * @param host where what passes is sent to
     */
    public DatagramRelay(Vertx vertx, Wires wires, String from, String to, String host, int port) {
        this.vertx = vertx;
        this.wires = wires;
        this.from = from;
        this.to = to;
        this.host = host;
        this.port = port;
        this.socket = vertx.createDatagramSocket();
    }

    /** Returns the port at which it listens. */
    public Future<Integer> listen(String at, int listenPort) {
        return socket.handler(packet -> take(packet.data()))
                .listen(listenPort, at)
                .map(listening -> listening.localAddress().port());
    }

    public Future<Void> close() {
        return socket.close();
    }

    /** How many datagrams it has read, whatever became of them. */
    public long read() {
        return read;
    }

    /** What it read of late, the oldest first. */
    public List<Buffer> recent() {
        return List.copyOf(recent);
    }

    private void take(Buffer data) {
        read++;
        recent.add(data);
        if (recent.size() > RECENT) {
            recent.poll();
        }
        Treatment now = wires.board().of(from, to);
        if (now.cut() != null || now.halfOpen() || wires.chance().nextDouble() < now.lose()) {
            return;
        }
        if (overtaken == null && wires.chance().nextDouble() < now.reorder()) {
            overtaken = data;
            return;
        }
        pass(data, now);
        if (wires.chance().nextDouble() < now.twice()) {
            pass(data, now);
        }
        if (overtaken != null) {
            pass(overtaken, now);
            overtaken = null;
        }
    }

    private void pass(Buffer data, Treatment now) {
        double delay = now.delayMs() * (wires.chance().nextDouble() < 0.05 ? 4 : 1);
        if (delay < 1) {
            socket.send(data, port, host);
        } else {
            vertx.setTimer((long) delay, late -> socket.send(data, port, host));
        }
    }
}
