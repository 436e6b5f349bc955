package sprucehold.rig.link;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.rig.fault.FaultSchedule;
import sprucehold.rig.fault.LinkFaults;

/**
 * All connections of a run that faults may affect, and the faults on their links. Not thread-safe:
 * all calls are made on one event loop.
 */
public final class ShapedConnections {
    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final LinkFaults linkFaults = new LinkFaults();
    private final Set<ShapedSocket> sockets = new LinkedHashSet<>();
    private final UniformRandomProvider random;

    /**
     * @param clock the clock of the run, in milliseconds
     */
    public ShapedConnections(Vertx vertx, DoubleSupplier clock, long seed) {
        this.vertx = vertx;
        this.clock = clock;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Applies the faults of a link to one end of a connection. */
    public ShapedSocket shape(
            NetSocket socket, String peer, String self, ShapedSocket.Owner owner) {
        var shaped = new ShapedSocket(this, socket, peer, self, owner);
        sockets.add(shaped);
        return shaped;
    }

    /**
     * Adds a fault that begins, or removes one that ends; open connections are affected at once.
     */
    public void change(FaultSchedule.Change change) {
        linkFaults.change(change);
        List.copyOf(sockets).forEach(ShapedSocket::faultsChanged);
    }

    public LinkFaults linkFaults() {
        return linkFaults;
    }

    /** Returns the number of open connections. */
    public int count() {
        return sockets.size();
    }

    UniformRandomProvider random() {
        return random;
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

    void closed(ShapedSocket socket) {
        sockets.remove(socket);
    }
}
