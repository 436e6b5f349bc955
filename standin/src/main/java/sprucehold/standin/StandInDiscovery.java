package sprucehold.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;

/** A stand-in for discovery, with an endpoint list that never changes. */
final class StandInDiscovery {
    /** Index of the endpoint list, which never changes. */
    private static final int INDEX = 1;

    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final String fullList;
    private final String noUpdate = body(List.of()).put("snapshot", false).toString();

    StandInDiscovery(Vertx vertx, List<ObjectNode> endpoints) {
        this.vertx = vertx;
        this.fullList = body(endpoints).toString();
    }

    private static ObjectNode body(List<ObjectNode> endpoints) {
        ObjectNode body =
                new ObjectMapper().createObjectNode().put("index", INDEX).put("snapshot", true);
        body.putArray("endpoints").addAll(endpoints);
        return body;
    }

    Future<HttpServer> listen(String host, int port) {
        return vertx.createHttpServer().requestHandler(this::answer).listen(port, host);
    }

    private void answer(HttpServerRequest request) {
        if (!request.path().equals("/discovery/hosts")) {
            request.response().setStatusCode(NOT_FOUND).end();
        } else if (!String.valueOf(INDEX).equals(request.getParam("after"))) {
            request.response().end(fullList);
        } else {
            long waitMs = Long.parseLong(request.getParam("wait_ms", "1"));
            vertx.setTimer(Math.max(1, waitMs), timerId -> request.response().end(noUpdate));
        }
    }
}
