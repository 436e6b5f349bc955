package sprucehold.rig.run;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.rig.fault.FaultSchedule;
import sprucehold.rig.link.DatagramRelay;
import sprucehold.rig.link.Flood;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.link.TcpRelay;
import sprucehold.rig.plan.Addresses;
import sprucehold.rig.plan.Plan;

/**
 * Relays the messages between gatherers. Each ordered pair of gatherers has one relay for datagrams
 * and one for streams. Also starts and ends floods of datagrams.
 */
final class PeerRelays {
    private final Vertx vertx;
    private final ShapedConnections shapedConnections;
    private final Addresses addresses;
    private final List<String> gatherers;

    /** Datagram relays, keyed by the name of the gatherer that receives the datagrams. */
    private final Map<String, List<DatagramRelay>> datagrams = new HashMap<>();

    private final List<TcpRelay> streams = new ArrayList<>();
    private final Map<Plan.TargetedFault, List<Flood>> floods = new HashMap<>();

    /**
     * @param gatherers the names of all gatherers, in the order of their numbers
     */
    PeerRelays(
            Vertx vertx,
            ShapedConnections shapedConnections,
            Addresses addresses,
            List<String> gatherers) {
        this.vertx = vertx;
        this.shapedConnections = shapedConnections;
        this.addresses = addresses;
        this.gatherers = gatherers;
    }

    /** Opens the relays from one gatherer to each other gatherer. */
    Future<Void> listen(int from) {
        var all = new ArrayList<Future<?>>();
        for (int to = 0; to < gatherers.size(); to++) {
            if (to != from) {
                all.add(datagrams(from, to));
                all.add(streams(from, to));
            }
        }
        return Future.all(all).mapEmpty();
    }

    private Future<?> datagrams(int from, int to) {
        String other = gatherers.get(to);
        var relay =
                new DatagramRelay(
                        vertx,
                        shapedConnections,
                        gatherers.get(from),
                        other,
                        addresses.gathererHost(to),
                        addresses.messagePort());
        datagrams.computeIfAbsent(other, none -> new ArrayList<>()).add(relay);
        return relay.listen(addresses.peersHost(from), addresses.peerPort(to));
    }

    private Future<?> streams(int from, int to) {
        var relay =
                new TcpRelay(
                        vertx,
                        shapedConnections,
                        gatherers.get(from),
                        gatherers.get(to),
                        SocketAddress.inetSocketAddress(
                                addresses.messagePort(), addresses.gathererHost(to)));
        streams.add(relay);
        return relay.listen(addresses.peersHost(from), addresses.peerPort(to));
    }

    /**
     * Starts or ends a flood of one gatherer with copies of the datagrams that others have sent to
     * it.
     */
    void flood(int gatherer, FaultSchedule.Change change) {
        List<Flood> all = floods.computeIfAbsent(change.fault(), none -> new ArrayList<>());
        if (change.begins()) {
            List<DatagramRelay> relaysToGatherer = datagrams.get(gatherers.get(gatherer));
            all.add(
                    new Flood(
                            vertx,
                            shapedConnections,
                            addresses.gathererHost(gatherer),
                            addresses.messagePort(),
                            change.fault().fault().amount(),
                            () ->
                                    relaysToGatherer.stream()
                                            .flatMap(relay -> relay.recent().stream())
                                            .toList()));
        } else {
            all.forEach(Flood::close);
            all.clear();
        }
    }

    void endFloods() {
        floods.values().forEach(all -> all.forEach(Flood::close));
    }

    /**
     * Closes all relays and returns one future for each, which completes when the relay is closed.
     */
    List<Future<?>> close() {
        var all = new ArrayList<Future<?>>();
        datagrams.values().forEach(relays -> relays.forEach(relay -> all.add(relay.close())));
        streams.forEach(stream -> all.add(stream.close()));
        return all;
    }
}
