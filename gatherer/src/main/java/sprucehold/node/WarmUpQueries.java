package sprucehold.node;

import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.EndpointUpdate;
import sprucehold.decision.QueryClass;

/**
 * Queries of a warm-up, as the HTTP requests that a client would send, and the endpoints of the
 * shard servers that receive their parts.
 */
final class WarmUpQueries {
    private final NodeConfig config;
    private int count;

    WarmUpQueries(NodeConfig config) {
        this.config = config;
    }

    /**
     * Returns the next request, with at most {@code maxParts} parts. The requests cycle through the
     * query classes.
     */
    String next(int maxParts) {
        count++;
        List<QueryClass> queryClasses = config.settings().deployment().queryClasses();
        String queryClass = queryClasses.get(count % queryClasses.size()).name();
        int shards = config.settings().shards();
        int parts = Math.min(maxParts, shards);
        var buckets = new StringBuilder();
        for (int i = 0; i < parts; i++) {
            buckets.append(i == 0 ? "" : ",")
                    .append("{\"bucket\":")
                    .append((count + i) % shards)
                    .append(",\"part\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        String body = "{\"buckets\":[" + buckets + "],\"body\":\"c41e77d0\"}";
        return "POST /"
                + queryClass
                + " HTTP/1.1\r\nHost: warm-up\r\nX-Request-Id: warm-up-"
                + count
                + "\r\nX-Class: "
                + queryClass
                + "\r\nX-Tenant: none\r\nX-Deadline-Ms: 2000\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Returns two replicas of each replica group, all with the same address. */
    static List<EndpointUpdate> endpoints(int replicaGroups, String address, String zone) {
        var endpoints = new ArrayList<EndpointUpdate>();
        for (int group = 0; group < replicaGroups; group++) {
            for (String replica : List.of("a", "b")) {
                endpoints.add(
                        new EndpointUpdate(
                                replica + group,
                                address,
                                group,
                                zone,
                                0,
                                EndpointUpdate.State.RUNNING));
            }
        }
        return endpoints;
    }

    /** Returns the number of requests that were created. */
    int count() {
        return count;
    }
}
