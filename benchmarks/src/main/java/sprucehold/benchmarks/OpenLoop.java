package sprucehold.benchmarks;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Sends queries to a gatherer at a fixed rate, whether or not the gatherer keeps up. The duration
 * of a query starts at the time at which it should have been sent. Queries planned for the first 3
 * seconds, in which this client still runs interpreted, are left out of the rate and of the
 * percentiles. Arguments: port, queries per second, seconds.
 */
public final class OpenLoop {
    private static final int CONNECTIONS = 24;
    private static final double WARM_UP_S = 3;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Queue<NetSocket> idle = new ArrayDeque<>();
    private final Queue<Long> waiting = new ArrayDeque<>();

    /** Planned send time of the open query of each connection in nanoseconds; 0 if none. */
    private final Map<NetSocket, long[]> sockets = new IdentityHashMap<>();

    private final Histogram durations = new Histogram(3);
    private final double perSecond;
    private final double seconds;
    private long sent;
    private long completed;
    private long notCompleted;
    private long startedNs;
    private long completedInWarmUp;

    private OpenLoop(double perSecond, double seconds) {
        this.perSecond = perSecond;
        this.seconds = seconds;
    }

    public static void main(String[] args) throws InterruptedException {
        new OpenLoop(Double.parseDouble(args[1]), Double.parseDouble(args[2]))
                .run(Integer.parseInt(args[0]));
    }

    private void run(int port) throws InterruptedException {
        NetClient client = vertx.createNetClient();
        var connected = new CountDownLatch(CONNECTIONS);
        var done = new CountDownLatch(1);
        vertx.runOnContext(
                none -> {
                    for (int i = 0; i < CONNECTIONS; i++) {
                        long[] plannedNs = {0};
                        client.connect(port, "127.0.0.1")
                                .onSuccess(
                                        socket -> {
                                            socket.handler(
                                                    bytes -> answered(socket, plannedNs, bytes));
                                            sockets.put(socket, plannedNs);
                                            idle.add(socket);
                                            connected.countDown();
                                        });
                    }
                });
        connected.await(10, TimeUnit.SECONDS);
        startedNs = System.nanoTime();
        vertx.runOnContext(
                none ->
                        vertx.setPeriodic(
                                1,
                                id -> {
                                    double elapsedS = (System.nanoTime() - startedNs) / 1e9;
                                    long plannedCount =
                                            (long)
                                                    (Math.min(elapsedS, WARM_UP_S + seconds)
                                                            * perSecond);
                                    for (; sent < plannedCount; sent++) {
                                        waiting.add(startedNs + (long) (sent / perSecond * 1e9));
                                    }
                                    send();
                                    if (elapsedS > WARM_UP_S + seconds + 3) {
                                        vertx.cancelTimer(id);
                                        done.countDown();
                                    }
                                }));
        done.await();
        System.out.printf(
                Locale.ROOT,
                "asked %d at %.0f/s: completed %d (%.1f/s), others %d, unanswered %d; p50 %.1f ms, "
                        + "p99 %.1f ms, p99.9 %.1f ms%n",
                sent,
                perSecond,
                completed,
                (completed - completedInWarmUp) / seconds,
                notCompleted,
                sent - completed - notCompleted,
                durations.getValueAtPercentile(50) / 1000.0,
                durations.getValueAtPercentile(99) / 1000.0,
                durations.getValueAtPercentile(99.9) / 1000.0);
        vertx.close();
    }

    private void send() {
        while (!waiting.isEmpty() && !idle.isEmpty()) {
            NetSocket socket = idle.poll();
            sockets.get(socket)[0] = waiting.poll();
            long number = completed + notCompleted + sent * 31 + System.nanoTime() % 1000;
            String body =
                    "{\"buckets\":[{\"bucket\":"
                            + number % 10
                            + ",\"part\":0.5},{\"bucket\":"
                            + (number + 1) % 10
                            + ",\"part\":0.5}],\"body\":\"c41e77d0\"}";
            socket.write(
                    Buffer.buffer(
                            "POST /offers HTTP/1.1\r\nHost: b\r\nX-Request-Id: "
                                    + Long.toHexString(System.nanoTime())
                                    + Integer.toHexString(System.identityHashCode(socket))
                                    + "\r\nX-Class: offers\r\nX-Tenant: acme\r\nX-Deadline-Ms: 2000\r\nContent-Length: "
                                    + body.length()
                                    + "\r\n\r\n"
                                    + body));
        }
    }

    private void answered(NetSocket socket, long[] plannedNs, Buffer bytes) {
        if (plannedNs[0] == 0) {
            return;
        }
        if (bytes.toString().startsWith("HTTP/1.1 200")) {
            completed++;
            if (plannedNs[0] - startedNs < WARM_UP_S * 1e9) {
                completedInWarmUp++;
                plannedNs[0] = 0;
                idle.add(socket);
                send();
                return;
            }
            durations.recordValue(Math.max(0, (System.nanoTime() - plannedNs[0]) / 1000));
        } else {
            notCompleted++;
        }
        plannedNs[0] = 0;
        idle.add(socket);
        send();
    }
}
