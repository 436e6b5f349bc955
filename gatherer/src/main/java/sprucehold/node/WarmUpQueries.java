package sprucehold.node;

import java.util.List;
import sprucehold.decision.QueryClass;

/** The scans that a warm-up asks, over whatever way it has. */
final class WarmUpQueries {
    private final NodeConfig config;
    private int count;

    WarmUpQueries(NodeConfig config) {
        this.config = config;
    }

    /**
     * The next request, as a client sends it, for so many parts at most; table types take turns.
     */
    String next(int mostParts) {
        count++;
        List<QueryClass> types = config.settings().deployment().queryClasses();
        String type = types.get(count % types.size()).name();
        int segments = config.settings().shards();
        int parts = Math.min(mostParts, segments);
        var buckets = new StringBuilder();
        for (int i = 0; i < parts; i++) {
            buckets.append(i == 0 ? "" : ",")
                    .append("{\"bucket\":")
                    .append((count + i) % segments)
                    .append(",\"part\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        String body = "{\"buckets\":[" + buckets + "],\"body\":\"c41e77d0\"}";
        return "POST /"
                + type
                + " HTTP/1.1\r\nHost: warm-up\r\nX-Request-Id: warm-up-"
                + count
                + "\r\nX-Class: "
                + type
                + "\r\nX-Tenant: none\r\nX-Deadline-Ms: 2000\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    int count() {
        return count;
    }
}
