package stage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients: each keeps its connection, sends one request at a time, and waits for the answer.
 * They judge the rule on lost requests: half a second and the slack of 50 ms after a request's time,
 * it has to have its whole answer.
 */
public final class Usual {
    /** Time after a request's own time at which it is lost without an answer. */
    public static final long LOST_AFTER_MS = 550;

    private final Stage stage;
    private final int port;
    private final List<Thread> threads = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private volatile boolean ending;

    /** Starts so many clients of a gatherer. */
    public Usual(Stage stage, int port, int clients, long pauseMs) {
        this.stage = stage;
        this.port = port;
        for (int i = 0; i < clients; i++) {
            int number = i;
            threads.add(Threads.start("client " + i, () -> run(number, pauseMs)));
        }
    }

    private void run(int number, long pauseMs) throws InterruptedException {
        Client client = null;
        for (int i = number; !ending; i++) {
            boolean first = i % 2 == 0;
            String queryClass = first ? Settings.REPLAYABLE : Settings.NON_REPLAYABLE;
            long deadlineMs = first ? Settings.REPLAYABLE_MS : Settings.NON_REPLAYABLE_MS;
            String id = Client.freshId();
            int shard = i % Settings.SHARDS;
            byte[] request =
                    first
                            ? Client.request(
                                    queryClass,
                                    id,
                                    deadlineMs,
                                    shard,
                                    (shard + 1) % Settings.SHARDS,
                                    (shard + 2) % Settings.SHARDS)
                            : Client.request(queryClass, id, deadlineMs, shard);
            double sentMs = stage.nowMs();
            Client.Answer answer = null;
            boolean fresh = client == null;
            try {
                client = client == null ? new Client(port) : client;
                client.send(request);
                answer = client.read(deadlineMs + LOST_AFTER_MS);
                boolean ended = answer == null && stage.nowMs() - sentMs < deadlineMs;
                if (ended && !fresh) {
                    // The end of a resting connection may have crossed the request.
                    client.close();
                    client = new Client(port);
                    client.send(request);
                    answer = client.read((long) (deadlineMs + LOST_AFTER_MS - (stage.nowMs() - sentMs)));
                }
            } catch (IOException e) {
                stage.log("usual client " + number + ": request " + id + ", " + e);
            }
            double tookMs = stage.nowMs() - sentMs;
            String line =
                    String.format(
                            Locale.ROOT,
                            "request %s of %s (%d ms), sent at %.1f: %s after %.1f ms",
                            id,
                            queryClass,
                            deadlineMs,
                            sentMs,
                            answer == null ? "no whole answer" : "" + answer.status(),
                            tookMs);
            stage.log("usual client " + number + ": " + line);
            if (answer != null) {
                answered.incrementAndGet();
                completed.addAndGet(answer.status() == 200 ? 1 : 0);
            } else {
                synchronized (lost) {
                    lost.add(line);
                }
            }
            if (client != null && (answer == null || !answer.keepsOpen())) {
                client.close();
                client = null;
            }
            Thread.sleep(pauseMs);
        }
        if (client != null) {
            client.close();
        }
    }

    /** Ends the clients after their open requests; to be called once. */
    public void end() throws InterruptedException {
        ending = true;
        for (Thread thread : threads) {
            thread.join(10_000);
        }
        stage.log(
                "usual clients: answered "
                        + answered
                        + ", of these completed "
                        + completed
                        + ", without a whole answer in time "
                        + lost().size());
    }

    /** Returns the number of requests that were answered completely. */
    public int completed() {
        return completed.get();
    }

    /** Returns a line for each request that had no whole answer in time. */
    public List<String> lost() {
        synchronized (lost) {
            return List.copyOf(lost);
        }
    }
}
