import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import stage.Bytes;
import stage.Client;
import stage.Discovery;
import stage.Settings;
import stage.ShardServer;
import stage.Stage;
import stage.Usual;

/**
 * A client sends many requests at once on one connection: does each get its final answer in its own
 * time, counted from the moment at which it was sent?
 */
public final class Pipelined {
    private static final int REQUESTS = 32;
    private static final long MS = Settings.REPLAYABLE_MS;

    private Pipelined() {}

    /** Runs the case in its folder. */
    public static void main(String[] arguments) {
        Stage.play(arguments, Pipelined::run);
    }

    private record Sent(String id, byte[] bytes) {}

    private static String run(Stage stage) throws Exception {
        var servers = ShardServer.fleet(stage, 12, Settings.GROUPS, 85);
        var discovery = new Discovery(stage, servers);
        Stage.Gatherer gatherer = stage.startGatherer("n0", discovery, Settings.JSON);
        warm(stage, gatherer.port());
        var sent = new ArrayList<Sent>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.freshId();
            int shard = i % Settings.SHARDS;
            sent.add(
                    new Sent(
                            id,
                            Client.request(
                                    Settings.REPLAYABLE,
                                    id,
                                    MS,
                                    shard,
                                    (shard + 1) % Settings.SHARDS,
                                    (shard + 2) % Settings.SHARDS)));
        }
        var lost = new ArrayList<String>();
        double sentMs = stage.nowMs();
        if (Stage.trouble()) {
            try (var client = new Client(gatherer.port())) {
                byte[] all =
                        Bytes.join(sent.stream().map(Sent::bytes).toArray(byte[][]::new));
                stage.log(REQUESTS + " requests at once on one connection, " + all.length + " bytes");
                client.send(all);
                for (Sent request : sent) {
                    judge(stage, request, client.read(10_000), sentMs, lost);
                }
            }
        } else {
            stage.log(REQUESTS + " requests at once, each on a connection of its own");
            var clients = new ArrayList<Client>();
            for (Sent request : sent) {
                var client = new Client(gatherer.port());
                client.send(request.bytes());
                clients.add(client);
            }
            for (int i = 0; i < REQUESTS; i++) {
                judge(stage, sent.get(i), clients.get(i).read(10_000), sentMs, lost);
                clients.get(i).close();
            }
        }
        logLateParts(stage, servers, sent, sentMs);
        return lost.isEmpty()
                ? null
                : lost.size() + " requests are lost, the first: " + lost.get(0);
    }

    private static void warm(Stage stage, int port) throws Exception {
        var usual = new Usual(stage, port, 3, 50);
        Thread.sleep(3000);
        usual.end();
    }

    private static void judge(
            Stage stage, Sent request, Client.Answer answer, double sentMs, List<String> lost) {
        double tookMs = stage.nowMs() - sentMs;
        String line =
                String.format(
                        Locale.ROOT,
                        "request %s (%d ms): %s after %.1f ms",
                        request.id(),
                        MS,
                        answer == null ? "no whole answer" : "" + answer.status(),
                        tookMs);
        stage.log(line);
        if (answer == null || tookMs > MS + Usual.LOST_AFTER_MS) {
            lost.add(line);
        }
    }

    private static void logLateParts(
            Stage stage, List<ShardServer> servers, List<Sent> sent, double sentMs) {
        var ids = sent.stream().map(Sent::id).toList();
        for (ShardServer server : servers) {
            for (ShardServer.Part part : server.parts()) {
                double tookMs = part.atMs() - sentMs;
                boolean ofThese = ids.contains(part.id().substring(0, part.id().indexOf('.')));
                if (ofThese && part.leftMs() > MS - tookMs + 150) {
                    stage.log(
                            String.format(
                                    Locale.ROOT,
                                    "part %s arrived %.1f ms after its request was sent and was"
                                            + " told that its client waits %d ms more",
                                    part.id(),
                                    tookMs,
                                    part.leftMs()));
                }
            }
        }
    }
}
