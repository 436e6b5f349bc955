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
 * What lies between each two gatherers of a run that talk: a relay for their datagrams, one for
 * their streams, and floods.
 */
final class PeerRelays {
    private final Vertx vertx;
    private final ShapedConnections wires;
    private final Addresses addresses;
    private final List<String> gatherers;

    /** By whom they lead to. */
    private final Map<String, List<DatagramRelay>> datagrams = new HashMap<>();

    private final List<TcpRelay> streams = new ArrayList<>();
    private final Map<Plan.TargetedFault, List<Flood>> floods = new HashMap<>();

    /**
     * @param gatherers the names of all, by number
     */
    PeerRelays(Vertx vertx, ShapedConnections wires, Addresses addresses, List<String> gatherers) {
        this.vertx = vertx;
        this.wires = wires;
        this.addresses = addresses;
        this.gatherers = gatherers;
    }

    /** Opens what leads from one gatherer to each other. */
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
                        wires,
                        gatherers.get(from),
                        other,
                        addresses.gatherer(to),
                        addresses.postPort());
        datagrams.computeIfAbsent(other, none -> new ArrayList<>()).add(relay);
        return relay.listen(addresses.others(from), addresses.othersPort(to));
    }

    private Future<?> streams(int from, int to) {
        var relay =
                new TcpRelay(
                        vertx,
                        wires,
                        gatherers.get(from),
                        gatherers.get(to),
                        SocketAddress.inetSocketAddress(
                                addresses.postPort(), addresses.gatherer(to)));
        streams.add(relay);
        return relay.listen(addresses.others(from), addresses.othersPort(to));
    }

    /** Begins or ends a flood of one gatherer with what others have sent it. */
    void flood(int gatherer, FaultSchedule.Change change) {
        List<Flood> all = floods.computeIfAbsent(change.what(), none -> new ArrayList<>());
        if (change.begins()) {
            List<DatagramRelay> leading = datagrams.get(gatherers.get(gatherer));
            all.add(
                    new Flood(
                            vertx,
                            wires,
                            addresses.gatherer(gatherer),
                            addresses.postPort(),
                            change.what().fault().amount(),
                            () ->
                                    leading.stream()
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

    /** Closes all relays; each future is one of them, through once it is closed. */
    List<Future<?>> close() {
        var all = new ArrayList<Future<?>>();
        datagrams.values().forEach(relays -> relays.forEach(relay -> all.add(relay.close())));
        streams.forEach(stream -> all.add(stream.close()));
        return all;
    }
}
