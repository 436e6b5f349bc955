import java.util.List;

import stage.BadClients;
import stage.Bytes;
import stage.Client;
import stage.Discovery;
import stage.Settings;
import stage.ShardServer;
import stage.Stage;
import stage.Usual;

/**
 * Bad clients send bodies that are too long, in chunks of one byte: do the usual clients get their
 * answers?
 */
public final class Stall {
    private static final int BAD_CLIENTS = 240;
    private static final long BODY_BYTES = 60_000_000;
    private static final int CHUNKS_AT_ONCE = 10_000;
    private static final long BAD_MS = 12_000;

    private Stall() {}

    /** Runs the case in its folder. */
    public static void main(String[] arguments) {
        Stage.play(arguments, Stall::run);
    }

    private static String run(Stage stage) throws Exception {
        var servers = ShardServer.fleet(stage, 12, Settings.GROUPS, 80);
        var discovery = new Discovery(stage, servers);
        Stage.Gatherer gatherer = stage.startGatherer("n0", discovery, Settings.JSON);
        var usual = new Usual(stage, gatherer.port(), 6, 100);
        Thread.sleep(3000);
        if (Stage.trouble()) {
            byte[] chunks = Bytes.ascii("1\r\nx\r\n".repeat(CHUNKS_AT_ONCE));
            stage.log(
                    BAD_CLIENTS
                            + " bad clients send a body of "
                            + BODY_BYTES
                            + " bytes each, in chunks of one byte");
            new BadClients(stage)
                    .run(
                            gatherer.port(),
                            BAD_CLIENTS,
                            i ->
                                    new BadClients.Sends(
                                            head(), chunks, (int) (BODY_BYTES / CHUNKS_AT_ONCE)),
                            BAD_MS,
                            () -> !gatherer.process().isAlive());
        } else {
            Thread.sleep(BAD_MS);
        }
        usual.end();
        List<String> lost = usual.lost();
        return lost.isEmpty()
                ? null
                : lost.size() + " requests of usual clients are lost, the first: " + lost.get(0);
    }

    private static byte[] head() {
        return Bytes.ascii(
                "POST /"
                        + Settings.REPLAYABLE
                        + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: "
                        + Client.freshId()
                        + "\r\nX-Class: "
                        + Settings.REPLAYABLE
                        + "\r\nX-Tenant: kempen-spaarbank\r\nX-Deadline-Ms: "
                        + Settings.REPLAYABLE_MS
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
}
