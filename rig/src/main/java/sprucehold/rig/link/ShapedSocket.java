package sprucehold.rig.link;

import io.netty.channel.socket.SocketChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * One end of a connection, owned by a party of the rig. Bytes from the peer are passed to the owner
 * when the faults of the link allow it, with the time at which they were read from the socket.
 * Bytes that the owner writes are delayed in the same way.
 */
public final class ShapedSocket {
    /** The party that owns this end of the connection. */
    public interface Owner {
        /**
         * Handles bytes from the peer.
         *
         * @param readMs when the bytes were read from the socket, in milliseconds by the run's
         *     clock
         */
        void received(Buffer bytes, double readMs);

        /**
         * Handles the end of the connection; called once.
         *
         * @param byPeer true if the peer ended the connection, false if a fault or this end did
         */
        void closed(boolean byPeer);
    }

    private record ReceivedBytes(Buffer buffer, double readMs) {}

    /** Number of buffers from the peer that may wait before reading from the socket is paused. */
    private static final int MAX_QUEUED_BUFFERS = 1000;

    private final ShapedConnections connections;
    private final NetSocket socket;
    private final Owner owner;
    private final Shaper<ReceivedBytes> inbound;
    private final Shaper<PendingWrite> outbound;
    private long timer = -1;
    private double timerDueMs = Double.POSITIVE_INFINITY;
    private int queuedBuffers;
    private boolean closed;
    private boolean peerClosed;

    /** Bytes to write, and an action that runs when they are written to the socket. */
    private record PendingWrite(Buffer buffer, Runnable onWritten) {}

    ShapedSocket(
            ShapedConnections connections,
            NetSocket socket,
            String peer,
            String self,
            Owner owner) {
        this.connections = connections;
        this.socket = socket;
        this.owner = owner;
        this.inbound = new Shaper<>(connections.linkFaults(), peer, self, connections.random());
        this.outbound = new Shaper<>(connections.linkFaults(), self, peer, connections.random());
        socket.handler(
                bytes -> {
                    double now = connections.now();
                    inbound.push(now, bytes.length(), new ReceivedBytes(bytes, now));
                    if (++queuedBuffers > MAX_QUEUED_BUFFERS) {
                        socket.pause();
                    }
                    transferDue();
                });
        socket.exceptionHandler(failure -> {});
        socket.closeHandler(
                none -> {
                    peerClosed = true;
                    // The owner is notified of the end only after all bytes that the peer sent
                    // before, and not while the link is cut.
                    transferDue();
                });
        if (inbound.resets() || outbound.resets()) {
            reset();
        }
    }

    public void write(Buffer bytes) {
        write(bytes, () -> {});
    }

    /**
     * Writes bytes once the faults of the link allow it.
     *
     * @param onWritten called when the bytes are written to the socket
     */
    public void write(Buffer bytes, Runnable onWritten) {
        if (!closed) {
            outbound.push(connections.now(), bytes.length(), new PendingWrite(bytes, onWritten));
            transferDue();
        }
    }

    /** Closes the connection once all bytes written before have been sent. */
    public void close() {
        write(Buffer.buffer(), () -> end(false));
    }

    /** Closes the connection with a TCP reset. */
    public void reset() {
        if (!closed) {
            // A connection that the peer has closed meanwhile needs no reset, and socket options
            // can't be set on a closed socket.
            if (((NetSocketInternal) socket).channelHandlerContext().channel()
                            instanceof SocketChannel channel
                    && channel.isOpen()) {
                channel.config().setSoLinger(0);
            }
            end(false);
        }
    }

    private void end(boolean byPeer) {
        if (!closed) {
            closed = true;
            connections.cancel(timer);
            connections.closed(this);
            socket.close();
            owner.closed(byPeer);
        }
    }

    void faultsChanged() {
        if (inbound.resets() || outbound.resets()) {
            reset();
        } else {
            transferDue();
        }
    }

    private void transferDue() {
        if (closed) {
            return;
        }
        double now = connections.now();
        for (PendingWrite written : outbound.due(now)) {
            if (written.buffer.length() > 0) {
                socket.write(written.buffer);
            }
            written.onWritten.run();
        }
        for (ReceivedBytes bytes : inbound.due(now)) {
            if (closed) {
                return;
            }
            if (queuedBuffers-- > MAX_QUEUED_BUFFERS) {
                socket.resume();
            }
            owner.received(bytes.buffer, bytes.readMs);
        }
        if (closed) {
            return;
        }
        if (inbound.broken() || outbound.broken()) {
            reset();
        } else if (peerClosed && inbound.empty()) {
            end(true);
        } else {
            scheduleTimer(Math.min(inbound.nextMs(), outbound.nextMs()));
        }
    }

    private void scheduleTimer(double dueMs) {
        if (dueMs != timerDueMs || timer < 0) {
            connections.cancel(timer);
            timer = -1;
            timerDueMs = dueMs;
            if (dueMs < Double.POSITIVE_INFINITY) {
                timer =
                        connections.timer(
                                dueMs,
                                () -> {
                                    timer = -1;
                                    timerDueMs = Double.POSITIVE_INFINITY;
                                    transferDue();
                                });
            }
        }
    }
}
