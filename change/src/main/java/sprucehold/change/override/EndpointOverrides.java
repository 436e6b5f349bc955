package sprucehold.change.override;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/**
 * Stands between the list and the module. News of discovery pass through it, and come out with the
 * operator's word on each server joined: taken out by the operator is draining for the module,
 * whatever discovery says; draining or gone by discovery stays so, whatever the operator says. A
 * server that the operator gives back counts as freshly started, so that the cold budget holds for
 * it.
 */
public final class EndpointOverrides {
    private final Map<String, Endpoint> told = new HashMap<>();
    private final Map<String, Double> givenBackAt = new HashMap<>();
    private Set<String> out = Set.of();

    /** News from discovery, as the module is to have them. */
    public Event.EndpointsUpdated told(Event.EndpointsUpdated news) {
        if (news.complete()) {
            var named = new HashSet<String>();
            news.endpoints().forEach(server -> named.add(server.server()));
            told.keySet().retainAll(named);
            // Who left the list for good is known as fresh by its own start when it comes back.
            givenBackAt.keySet().retainAll(named);
        }
        var joined = new ArrayList<Endpoint>(news.endpoints().size());
        for (Endpoint server : news.endpoints()) {
            if (server.state() == Endpoint.State.GONE) {
                told.remove(server.server());
                givenBackAt.remove(server.server());
            } else {
                told.put(server.server(), server);
            }
            joined.add(joined(server));
        }
        return new Event.EndpointsUpdated(news.complete(), List.copyOf(joined));
    }

    /**
     * The operator's word, from now on.
     *
     * @param servers those taken out; all others are in
     * @param nowMs Unix time, by the clock that starts are told in
     * @return news for the module: of each listed server whose joined word changed; empty where
     *     none did
     */
    public List<Endpoint> takenOut(SortedSet<String> servers, double nowMs) {
        var changed = new TreeSet<String>(servers);
        changed.addAll(out);
        changed.removeIf(server -> servers.contains(server) == out.contains(server));
        for (String server : changed) {
            if (!servers.contains(server) && told.containsKey(server)) {
                givenBackAt.put(server, nowMs);
            }
        }
        out = Set.copyOf(servers);
        return changed.stream()
                .filter(told::containsKey)
                .map(server -> joined(told.get(server)))
                .toList();
    }

    private Endpoint joined(Endpoint server) {
        Endpoint.State mode =
                server.state() == Endpoint.State.RUNNING && out.contains(server.server())
                        ? Endpoint.State.DRAINING
                        : server.state();
        double started =
                Math.max(server.startedAtMs(), givenBackAt.getOrDefault(server.server(), 0.0));
        return new Endpoint(server.server(), server.replicaGroup(), server.zone(), started, mode);
    }

    /** Servers that discovery calls running, by cell, whatever the operator says. */
    public Map<Integer, Set<String>> byCell() {
        Map<Integer, Set<String>> byCell = new HashMap<>();
        told.values().stream()
                .filter(server -> server.state() == Endpoint.State.RUNNING)
                .forEach(
                        server ->
                                byCell.computeIfAbsent(
                                                server.replicaGroup(), none -> new HashSet<>())
                                        .add(server.server()));
        return byCell;
    }

    /** Listed servers that may be sent to, by the joined word. */
    public SortedSet<String> running() {
        var running = new TreeSet<String>();
        told.values().stream()
                .filter(server -> joined(server).state() == Endpoint.State.RUNNING)
                .forEach(server -> running.add(server.server()));
        return running;
    }
}
