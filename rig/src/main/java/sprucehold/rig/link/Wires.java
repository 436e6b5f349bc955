package sprucehold.rig.link;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.rig.fault.FaultBoard;
import sprucehold.rig.fault.LinkBoard;

/** All connections of a run that faults may befall. On one event loop. */
public final class Wires {
    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final LinkBoard board = new LinkBoard();
    private final Set<ShapedSocket> sockets = new LinkedHashSet<>();
    private final UniformRandomProvider chance;

    /**
     * @param clock the run's one clock, in milliseconds
     */
    public Wires(Vertx vertx, DoubleSupplier clock, long seed) {
        this.vertx = vertx;
        this.clock = clock;
        this.chance = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Puts an end of a connection under the faults of its link. */
    public ShapedSocket shape(
            NetSocket socket, String peer, String self, ShapedSocket.Owner owner) {
        var shaped = new ShapedSocket(this, socket, peer, self, owner);
        sockets.add(shaped);
        return shaped;
    }

    /** Takes a fault into account, or no longer, on connections that stand as well. */
    public void change(FaultBoard.Change change) {
        board.change(change);
        List.copyOf(sockets).forEach(ShapedSocket::changed);
    }

    public LinkBoard board() {
        return board;
    }

    /** How many connections stand. */
    public int count() {
        return sockets.size();
    }

    UniformRandomProvider chance() {
        return chance;
    }

    double now() {
        return clock.getAsDouble();
    }

    long timer(double atMs, Runnable action) {
        return vertx.setTimer(Math.max(1, (long) Math.ceil(atMs - now())), id -> action.run());
    }

    void cancel(long timer) {
        vertx.cancelTimer(timer);
    }

    void over(ShapedSocket socket) {
        sockets.remove(socket);
    }
}
