package sprucehold.rig.script;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The parties of a run, by name: gatherers {@code a-0}, shard servers {@code s-a-0-1} (site,
 * replica group, replica) and clients {@code clients@a}. A discovery agent has the name of the
 * gatherer that it serves.
 *
 * @param siteOf the site of each party, clients included
 */
public record Parties(
        List<String> gatherers,
        List<String> servers,
        List<String> clients,
        Map<String, String> siteOf) {

    public static Parties of(Script script) {
        var gatherers = new ArrayList<String>();
        var servers = new ArrayList<String>();
        var clients = new ArrayList<String>();
        var siteOf = new LinkedHashMap<String, String>();
        for (Script.Site site : script.sites()) {
            for (int i = 0; i < site.gatherers(); i++) {
                gatherers.add(site.name() + "-" + i);
                siteOf.put(site.name() + "-" + i, site.name());
            }
            for (int cell = 0; cell < script.cells(); cell++) {
                for (int holder = 0; holder < site.holders(); holder++) {
                    servers.add("s-" + site.name() + "-" + cell + "-" + holder);
                    siteOf.put("s-" + site.name() + "-" + cell + "-" + holder, site.name());
                }
            }
            clients.add("clients@" + site.name());
            siteOf.put("clients@" + site.name(), site.name());
        }
        return new Parties(
                List.copyOf(gatherers),
                List.copyOf(servers),
                List.copyOf(clients),
                Map.copyOf(siteOf));
    }

    /**
     * Returns the names of the parties that a name or a group selects; empty if it selects none.
     */
    public List<String> select(String selector) {
        if (siteOf.containsKey(selector)) {
            return List.of(selector);
        }
        int at = selector.indexOf('@');
        String group = at < 0 ? selector : selector.substring(0, at);
        List<String> all =
                switch (group) {
                    case "gatherers", "discovery" -> gatherers;
                    case "servers" -> servers;
                    case "clients" -> clients;
                    case "" ->
                            Stream.of(gatherers, servers, clients).flatMap(List::stream).toList();
                    default -> List.of();
                };
        return at < 0
                ? all
                : all.stream()
                        .filter(name -> siteOf.get(name).equals(selector.substring(at + 1)))
                        .toList();
    }
}
