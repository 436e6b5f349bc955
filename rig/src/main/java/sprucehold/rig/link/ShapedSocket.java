package sprucehold.rig.link;

import io.netty.channel.socket.SocketChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * One end of a connection, held by a party of the rig: what its peer sends is handed on when the
 * link lets it, with the time at which it was really read, and so is what the party writes.
 */
public final class ShapedSocket {
    /** Who holds this end. */
    public interface Owner {
        /**
         * @param readMs when the peer's bytes left it
         */
        void received(Buffer bytes, double readMs);

        /**
         * The connection is over; called once. {@code byPeer} tells whether the peer ended it, not
         * a fault or this end.
         */
        void closed(boolean byPeer);
    }

    private record Bytes(Buffer buffer, double readMs) {}

    /** What a party may have waiting before its peer is read no further. */
    private static final int MOST_HELD = 1000;

    private final Wires wires;
    private final NetSocket socket;
    private final Owner owner;
    private final Shaper<Bytes> in;
    private final Shaper<Written> out;
    private long timer = -1;
    private double timerAt = Double.POSITIVE_INFINITY;
    private int heldIn;
    private boolean over;
    private boolean peerClosed;

    /** Bytes to write, and who wants to know when they are. */
    private record Written(Buffer buffer, Runnable then) {}

    ShapedSocket(Wires wires, NetSocket socket, String peer, String self, Owner owner) {
        this.wires = wires;
        this.socket = socket;
        this.owner = owner;
        this.in = new Shaper<>(wires.board(), peer, self, wires.chance());
        this.out = new Shaper<>(wires.board(), self, peer, wires.chance());
        socket.handler(
                bytes -> {
                    double now = wires.now();
                    in.push(now, bytes.length(), new Bytes(bytes, now));
                    if (++heldIn > MOST_HELD) {
                        socket.pause();
                    }
                    pass();
                });
        socket.exceptionHandler(failure -> {});
        socket.closeHandler(
                none -> {
                    peerClosed = true;
                    // The end comes after all that came before it, and not while the link is cut.
                    pass();
                });
        if (in.resets() || out.resets()) {
            reset();
        }
    }

    public void write(Buffer bytes) {
        write(bytes, () -> {});
    }

    /**
     * @param then is called as the bytes are really written
     */
    public void write(Buffer bytes, Runnable then) {
        if (!over) {
            out.push(wires.now(), bytes.length(), new Written(bytes, then));
            pass();
        }
    }

    /** Ends it once all that was written has passed. */
    public void close() {
        write(Buffer.buffer(), () -> end(false));
    }

    /** Ends it so that the peer sees a reset. */
    public void reset() {
        if (!over) {
            // A peer that has closed meanwhile needs no reset, and a closed socket takes no
            // options.
            if (((NetSocketInternal) socket).channelHandlerContext().channel()
                            instanceof SocketChannel channel
                    && channel.isOpen()) {
                channel.config().setSoLinger(0);
            }
            end(false);
        }
    }

    private void end(boolean byPeer) {
        if (!over) {
            over = true;
            wires.cancel(timer);
            wires.over(this);
            socket.close();
            owner.closed(byPeer);
        }
    }

    void changed() {
        if (in.resets() || out.resets()) {
            reset();
        } else {
            pass();
        }
    }

    private void pass() {
        if (over) {
            return;
        }
        double now = wires.now();
        for (Written written : out.due(now)) {
            if (written.buffer.length() > 0) {
                socket.write(written.buffer);
            }
            written.then.run();
        }
        for (Bytes bytes : in.due(now)) {
            if (over) {
                return;
            }
            if (heldIn-- > MOST_HELD) {
                socket.resume();
            }
            owner.received(bytes.buffer, bytes.readMs);
        }
        if (over) {
            return;
        }
        if (in.broken() || out.broken()) {
            reset();
        } else if (peerClosed && in.empty()) {
            end(true);
        } else {
            arm(Math.min(in.nextMs(), out.nextMs()));
        }
    }

    private void arm(double at) {
        if (at != timerAt || timer < 0) {
            wires.cancel(timer);
            timer = -1;
            timerAt = at;
            if (at < Double.POSITIVE_INFINITY) {
                timer =
                        wires.timer(
                                at,
                                () -> {
                                    timer = -1;
                                    timerAt = Double.POSITIVE_INFINITY;
                                    pass();
                                });
            }
        }
    }
}
