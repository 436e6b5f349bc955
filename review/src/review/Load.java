package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Usual clients: each keeps a connection, sends one query at a time and opens a new connection when
 * it has lost the old one. They check the values that they get.
 */
final class Load {
    private static final Pattern ITEM =
            Pattern.compile("\\{\"bucket\":(\\d+),\"item\":\"((?:[^\"\\\\]|\\\\.)*)\"\\}");
    private static final String[] CLASSES = {"offers", "receipts", "stamps"};
    private static final int[] DEADLINES_MS = {4000, 1500, 2500};

    private final Kit kit;
    private final int port;
    private final int number;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong(System.nanoTime() << 8);
    final Kit.Counts counts = new Kit.Counts();
    final AtomicInteger wrongValues = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * @param number number of the gatherer, the first digit of all ids
     */
    Load(Kit kit, int port, int number, int clients, int pauseMs) {
        this.kit = kit;
        this.port = port;
        this.number = number;
        for (int i = 0; i < clients; i++) {
            int client = i;
            threads.add(Kit.daemon(() -> serveClient(client, pauseMs)));
        }
    }

    void start() {
        threads.forEach(Thread::start);
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(6000);
        }
        kit.log("usual clients: " + counts);
    }

    private void serveClient(int client, int pauseMs) {
        Kit.Client connection = null;
        try {
            for (int i = client; !stopped; i++) {
                Thread.sleep(pauseMs);
                if (connection == null) {
                    try {
                        connection = new Kit.Client(port, 5000);
                    } catch (IOException e) {
                        counts.add("not connected");
                        continue;
                    }
                }
                if (!ask(connection, i)) {
                    connection.close();
                    connection = null;
                }
            }
        } catch (InterruptedException | IOException e) {
            kit.log("a client has ended: " + e);
        }
    }

    /** Sends one query; returns whether the connection may be used again. */
    private boolean ask(Kit.Client connection, int i) {
        int queryClass = i % CLASSES.length;
        String id = String.format("%x%015x", number, ids.incrementAndGet() & 0xfffffffffffffffL);
        String body = "t" + id.substring(8);
        int[] shards = new int[queryClass == 2 ? 2 : 4];
        for (int k = 0; k < shards.length; k++) {
            shards[k] = (i * 3 + k) % 10;
        }
        double sentAtMs = kit.nowMs();
        String told;
        boolean usable = true;
        try {
            Kit.Reply reply =
                    connection.call(
                            Kit.query(
                                    id,
                                    CLASSES[queryClass],
                                    DEADLINES_MS[queryClass],
                                    shards,
                                    body));
            counts.add("" + reply.status());
            usable = !reply.last();
            told = reply.status() + " " + reply.body().strip();
            if (reply.status() == 200) {
                check(id, body, reply.body());
            }
        } catch (IOException e) {
            counts.add("no answer");
            told = "no answer: " + e.getMessage();
            usable = false;
        }
        kit.log(
                String.format(
                        "query %s %s sent at %.1f: %s", id, CLASSES[queryClass], sentAtMs, told));
        return usable;
    }

    private void check(String id, String body, String answer) {
        Matcher items = ITEM.matcher(answer);
        while (items.find()) {
            int shard = Integer.parseInt(items.group(1));
            String made = Kit.value(body, shard);
            if (!items.group(2).equals(made)) {
                wrongValues.incrementAndGet();
                kit.log(
                        "WRONG VALUE in query "
                                + id
                                + ", shard "
                                + shard
                                + ": made "
                                + made
                                + ", served "
                                + items.group(2));
            }
        }
    }
}
