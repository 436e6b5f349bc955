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
import sprucehold.rig.link.Wires;
import sprucehold.rig.load.Clients;
import sprucehold.rig.load.Front;
import sprucehold.rig.plan.Plan;
import sprucehold.standin.ledger.Ledger;

/** Clients against a gatherer that is hard to reach. */
public class ClientsTest {
    private static final int REFUSED = 5;

    @Test
    public void aGathererIsToldOnlyTheTimeThatIsLeftOnceItWasFound() throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        int nobody;
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            nobody = socket.getLocalPort();
        }
        var told = new CompletableFuture<Double>();
        var end = new CompletableFuture<Clients.End>();
        var tries = new int[1];
        long begun = System.nanoTime();
        vertx.createNetServer()
                .connectHandler(
                        socket ->
                                socket.handler(
                                        bytes -> {
                                            told.complete(
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
                            var front = new Front(Map.of("a-0", "a"), 1000);
                            front.ready("a-0");
                            var script = Scripts.shipped("calm");
                            var clients =
                                    new Clients(
                                            vertx,
                                            new Wires(
                                                    vertx,
                                                    () -> (System.nanoTime() - begun) / 1e6,
                                                    1),
                                            () -> (System.nanoTime() - begun) / 1e6,
                                            new Ledger(),
                                            script,
                                            front,
                                            name ->
                                                    SocketAddress.inetSocketAddress(
                                                            ++tries[0] <= REFUSED
                                                                    ? nobody
                                                                    : server.actualPort(),
                                                            "127.0.0.1"),
                                            name -> false,
                                            (ask, atMs, how, late) -> end.complete(how));
                            clients.ask(
                                    new Plan.Ask(0, "x", 0, Map.of(1, 1.0)),
                                    (System.nanoTime() - begun) / 1e6);
                        },
                        end::completeExceptionally);
        assertEquals(end.get(20, TimeUnit.SECONDS), Clients.End.WHOLE);
        // Timers never fire early: each refusal took its 20 ms at the least.
        double timeout = 1500;
        assertTrue(
                told.get() <= timeout - 20 * REFUSED && told.get() > 0,
                "told " + told.get() + " ms");
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
