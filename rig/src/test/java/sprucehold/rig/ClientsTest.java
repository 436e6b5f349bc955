package sprucehold.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.load.Clients;
import sprucehold.rig.load.SiteBalancer;
import sprucehold.rig.plan.Plan;
import sprucehold.standin.ledger.Ledger;

/** Tests clients whose first connections to a gatherer are refused. */
public class ClientsTest {
    private static final int REFUSED = 5;

    @Test
    public void theDeadlineHeaderExcludesTheTimeSpentOnRefusedConnections() throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        int refusingPort;
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            refusingPort = socket.getLocalPort();
        }
        var deadlineMs = new CompletableFuture<Double>();
        var end = new CompletableFuture<Clients.End>();
        var connects = new int[1];
        long startNs = System.nanoTime();
        vertx.createNetServer()
                .connectHandler(
                        socket ->
                                socket.handler(
                                        bytes -> {
                                            deadlineMs.complete(
                                                    Double.parseDouble(
                                                            bytes.toString()
                                                                    .split("X-Deadline-Ms: ")[1]
                                                                    .split("\r\n")[0]));
                                            socket.write(
                                                    "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"finished\":true,\"found\":[]}");
                                        }))
                .listen(0, "127.0.0.1")
                .onComplete(
                        server -> {
                            var front = new SiteBalancer(Map.of("a-0", "a"), 1000);
                            front.ready("a-0");
                            var script = Scripts.shipped("calm");
                            var clients =
                                    new Clients(
                                            vertx,
                                            new ShapedConnections(
                                                    vertx,
                                                    () -> (System.nanoTime() - startNs) / 1e6,
                                                    1),
                                            () -> (System.nanoTime() - startNs) / 1e6,
                                            new Ledger(),
                                            script,
                                            front,
                                            name ->
                                                    SocketAddress.inetSocketAddress(
                                                            ++connects[0] <= REFUSED
                                                                    ? refusingPort
                                                                    : server.actualPort(),
                                                            "127.0.0.1"),
                                            name -> false,
                                            (query, atMs, ending, sentLateMs) ->
                                                    end.complete(ending));
                            clients.sendQuery(
                                    new Plan.PlannedQuery(0, "x", 0, Map.of(1, 1.0)),
                                    (System.nanoTime() - startNs) / 1e6);
                        },
                        end::completeExceptionally);
        assertEquals(end.get(20, TimeUnit.SECONDS), Clients.End.WHOLE);
        // Timers never fire early: each refused connection delays the next by at least 20 ms.
        double timeout = 1500;
        assertTrue(
                deadlineMs.get() <= timeout - 20 * REFUSED && deadlineMs.get() > 0,
                "deadline of " + deadlineMs.get() + " ms");
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
