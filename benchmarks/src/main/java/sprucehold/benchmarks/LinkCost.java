package sprucehold.benchmarks;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.HdrHistogram.Histogram;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.link.ShapedSocket;
import sprucehold.rig.link.TcpRelay;

/**
 * Measures what the links of the rig add to a round trip on loopback while no fault is active. It
 * compares a direct connection, a connection whose far end is behind a shaper (as those of the
 * shard servers and clients of the rig are) and a connection through a relay (as between two
 * gatherers). The three connections take turns, so that a busy period of the machine affects all of
 * them. Optional argument: number of round trips for each connection.
 */
public final class LinkCost {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int BYTES = 100;

    /**
     * Round trips per turn, few enough that all three links take a turn within 0.1 s and so are
     * measured in the same state of the machine.
     */
    private static final int ROUND_TRIPS_PER_TURN = 500;

    /** Round trips on each link that are not counted, while the client still runs interpreted. */
    private static final int WARM_UP_ROUND_TRIPS = 5000;

    private final Vertx near = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx far = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    private record Link(String name, NetSocket socket, Histogram durations) {}

    private LinkCost() {}

    public static void main(String[] args)
            throws InterruptedException, ExecutionException, TimeoutException {
        new LinkCost().run(args.length > 0 ? Integer.parseInt(args[0]) : 50_000);
    }

    private void run(int rounds) throws InterruptedException, ExecutionException, TimeoutException {
        var connections = new ShapedConnections(far, () -> System.nanoTime() / 1e6, 1);
        NetServer echo =
                far.createNetServer().connectHandler(socket -> socket.handler(socket::write));
        NetServer shapedEcho =
                far.createNetServer()
                        .connectHandler(
                                socket -> {
                                    ShapedSocket[] shapedSocket = {null};
                                    shapedSocket[0] =
                                            connections.shape(
                                                    socket,
                                                    "near",
                                                    "far",
                                                    new ShapedSocket.Owner() {
                                                        @Override
                                                        public void received(
                                                                Buffer bytes, double readMs) {
                                                            shapedSocket[0].write(bytes);
                                                        }

                                                        @Override
                                                        public void closed(boolean byPeer) {
                                                            // Nothing to clean up: the process
                                                            // ends after the measurement.
                                                        }
                                                    });
                                });
        int direct = await(echo.listen(0, LOOPBACK)).actualPort();
        int shaped = await(shapedEcho.listen(0, LOOPBACK)).actualPort();
        int relayed =
                await(
                        new TcpRelay(
                                        far,
                                        connections,
                                        "near",
                                        "far",
                                        SocketAddress.inetSocketAddress(direct, LOOPBACK))
                                .listen(LOOPBACK, 0));
        var links = new ArrayList<Link>();
        for (var link :
                List.of(
                        new Object[] {"direct", direct},
                        new Object[] {"held behind a shaper", shaped},
                        new Object[] {"through a relay", relayed})) {
            links.add(
                    new Link(
                            (String) link[0],
                            await(near.createNetClient().connect((int) link[1], LOOPBACK)),
                            new Histogram(3)));
        }
        for (int turn = 0; turn * ROUND_TRIPS_PER_TURN < WARM_UP_ROUND_TRIPS + rounds; turn++) {
            for (Link link : links) {
                boolean counted = turn * ROUND_TRIPS_PER_TURN >= WARM_UP_ROUND_TRIPS;
                Promise<Void> done = Promise.promise();
                near.runOnContext(none -> runRoundTrips(link, ROUND_TRIPS_PER_TURN, counted, done));
                await(done.future());
            }
        }
        for (Link link : links) {
            System.out.printf(
                    Locale.ROOT,
                    "%-22s median %6.1f us, p99 %6.1f us, of %d round trips of %d bytes%n",
                    link.name,
                    link.durations.getValueAtPercentile(50) / 1e3,
                    link.durations.getValueAtPercentile(99) / 1e3,
                    link.durations.getTotalCount(),
                    BYTES);
        }
        near.close();
        far.close();
    }

    private static void runRoundTrips(
            Link link, int remaining, boolean counted, Promise<Void> done) {
        if (remaining == 0) {
            done.complete();
            return;
        }
        long startedNs = System.nanoTime();
        int[] receivedBytes = {0};
        link.socket.handler(
                bytes -> {
                    receivedBytes[0] += bytes.length();
                    if (receivedBytes[0] == BYTES) {
                        if (counted) {
                            link.durations.recordValue(System.nanoTime() - startedNs);
                        }
                        runRoundTrips(link, remaining - 1, counted, done);
                    }
                });
        link.socket.write(Buffer.buffer(new byte[BYTES]));
    }

    private static <T> T await(Future<T> future)
            throws InterruptedException, ExecutionException, TimeoutException {
        return future.toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
    }
}
