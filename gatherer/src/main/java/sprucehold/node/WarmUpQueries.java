package sprucehold.node;

import java.util.List;
import sprucehold.decision.QueryClass;

/** The scans that a warm-up asks, over whatever way it has. */
final class WarmUpQueries {
    private final NodeConfig config;
    private int asked;

    WarmUpQueries(NodeConfig config) {
        this.config = config;
    }

    /**
     * The next request, as a client sends it, for so many parts at most; table types take turns.
     */
    String next(int mostParts) {
        asked++;
        List<QueryClass> types = config.facts().deployment().queryClasses();
        String type = types.get(asked % types.size()).name();
        int segments = config.facts().shards();
        int parts = Math.min(mostParts, segments);
        var buckets = new StringBuilder();
        for (int i = 0; i < parts; i++) {
            buckets.append(i == 0 ? "" : ",")
                    .append("{\"bucket\":")
                    .append((asked + i) % segments)
                    .append(",\"part\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        String body = "{\"buckets\":[" + buckets + "],\"body\":\"c41e77d0\"}";
        return "POST /"
                + type
                + " HTTP/1.1\r\nHost: warm-up\r\nX-Request-Id: warm-up-"
                + asked
                + "\r\nX-Class: "
                + type
                + "\r\nX-Tenant: none\r\nX-Deadline-Ms: 2000\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    int asked() {
        return asked;
    }
}
