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
 * What the rig's links add to a round trip on loopback, no fault in force: a direct connection, one
 * whose far end is held behind a shaper (as shard servers and clients of the rig hold theirs), and
 * one through a relay (as between two gatherers). The three take turns, so that a busy moment
 * befalls all. Arguments: round trips of each, perhaps.
 */
public final class LinkCost {
    private static final String HERE = "127.0.0.1";
    private static final int BYTES = 100;

    /** One turn; with it, three links see the same machine within a tenth of a second. */
    private static final int TURN = 500;

    /** The client's share of round trips that aren't counted, while it is interpreted. */
    private static final int WARM = 5000;

    private final Vertx near = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx far = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    private record Link(String name, NetSocket socket, Histogram took) {}

    private LinkCost() {}

    public static void main(String[] args)
            throws InterruptedException, ExecutionException, TimeoutException {
        new LinkCost().run(args.length > 0 ? Integer.parseInt(args[0]) : 50_000);
    }

    private void run(int rounds) throws InterruptedException, ExecutionException, TimeoutException {
        var wires = new ShapedConnections(far, () -> System.nanoTime() / 1e6, 1);
        NetServer echo =
                far.createNetServer().connectHandler(socket -> socket.handler(socket::write));
        NetServer held =
                far.createNetServer()
                        .connectHandler(
                                socket -> {
                                    ShapedSocket[] own = {null};
                                    own[0] =
                                            wires.shape(
                                                    socket,
                                                    "near",
                                                    "far",
                                                    new ShapedSocket.Owner() {
                                                        @Override
                                                        public void received(
                                                                Buffer bytes, double readMs) {
                                                            own[0].write(bytes);
                                                        }

                                                        @Override
                                                        public void closed(boolean byPeer) {
                                                            // The measurement ends with its
                                                            // process.
                                                        }
                                                    });
                                });
        int direct = await(echo.listen(0, HERE)).actualPort();
        int shaped = await(held.listen(0, HERE)).actualPort();
        int relayed =
                await(
                        new TcpRelay(
                                        far,
                                        wires,
                                        "near",
                                        "far",
                                        SocketAddress.inetSocketAddress(direct, HERE))
                                .listen(HERE, 0));
        var links = new ArrayList<Link>();
        for (var link :
                List.of(
                        new Object[] {"direct", direct},
                        new Object[] {"held behind a shaper", shaped},
                        new Object[] {"through a relay", relayed})) {
            links.add(
                    new Link(
                            (String) link[0],
                            await(near.createNetClient().connect((int) link[1], HERE)),
                            new Histogram(3)));
        }
        for (int turn = 0; turn * TURN < WARM + rounds; turn++) {
            for (Link link : links) {
                boolean counted = turn * TURN >= WARM;
                Promise<Void> done = Promise.promise();
                near.runOnContext(none -> trips(link, TURN, counted, done));
                await(done.future());
            }
        }
        for (Link link : links) {
            System.out.printf(
                    Locale.ROOT,
                    "%-22s median %6.1f us, p99 %6.1f us, of %d round trips of %d bytes%n",
                    link.name,
                    link.took.getValueAtPercentile(50) / 1e3,
                    link.took.getValueAtPercentile(99) / 1e3,
                    link.took.getTotalCount(),
                    BYTES);
        }
        near.close();
        far.close();
    }

    private static void trips(Link link, int left, boolean counted, Promise<Void> done) {
        if (left == 0) {
            done.complete();
            return;
        }
        long begun = System.nanoTime();
        int[] came = {0};
        link.socket.handler(
                bytes -> {
                    came[0] += bytes.length();
                    if (came[0] == BYTES) {
                        if (counted) {
                            link.took.recordValue(System.nanoTime() - begun);
                        }
                        trips(link, left - 1, counted, done);
                    }
                });
        link.socket.write(Buffer.buffer(new byte[BYTES]));
    }

    private static <T> T await(Future<T> future)
            throws InterruptedException, ExecutionException, TimeoutException {
        return future.toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
    }
}
