import java.util.Collections;

import stage.BadClients;
import stage.Bytes;
import stage.Client;
import stage.Discovery;
import stage.Settings;
import stage.ShardServer;
import stage.Stage;
import stage.Usual;

/** Bad clients send hundreds of requests at once each: does the gatherer's process stay up? */
public final class Crash {
    private static final int BAD_CLIENTS = 320;
    private static final int REQUESTS_EACH = 200;
    private static final long BAD_MS = 8000;

    private Crash() {}

    /** Runs the case in its folder. */
    public static void main(String[] arguments) {
        Stage.play(arguments, Crash::run);
    }

    private static String run(Stage stage) throws Exception {
        var servers = ShardServer.fleet(stage, 12, Settings.GROUPS, 80);
        var discovery = new Discovery(stage, servers);
        Stage.Gatherer gatherer = stage.startGatherer("n0", discovery, Settings.JSON);
        var usual = new Usual(stage, gatherer.port(), 6, 100);
        Thread.sleep(3000);
        if (Stage.trouble()) {
            byte[] small =
                    Bytes.ascii("GET /up HTTP/1.1\r\nHost: a\r\n" + "a: b\r\n".repeat(8) + "\r\n");
            byte[] others =
                    Bytes.join(
                            Collections.nCopies(REQUESTS_EACH - 1, small).toArray(byte[][]::new));
            stage.log(
                    BAD_CLIENTS
                            + " bad clients send a query and "
                            + (REQUESTS_EACH - 1)
                            + " requests for /up each, at once, "
                            + others.length
                            + " bytes and the query");
            new BadClients(stage)
                    .run(
                            gatherer.port(),
                            BAD_CLIENTS,
                            i -> new BadClients.Sends(query(i), others, 1),
                            BAD_MS,
                            () -> !gatherer.process().isAlive());
        } else {
            Thread.sleep(BAD_MS);
        }
        boolean alive = gatherer.process().isAlive();
        usual.end();
        return alive
                ? null
                : "the gatherer's process has ended with exit code "
                        + gatherer.process().exitValue();
    }

    private static byte[] query(int number) {
        return Client.request(
                Settings.REPLAYABLE,
                Client.freshId(),
                Settings.REPLAYABLE_MS,
                number % Settings.SHARDS);
    }
}
