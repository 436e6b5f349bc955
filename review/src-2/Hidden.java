import java.io.IOException;
import java.util.List;

import stage.Bytes;
import stage.Client;
import stage.Discovery;
import stage.Settings;
import stage.ShardServer;
import stage.Stage;
import stage.Usual;

/**
 * A bad client sends a request with both Content-Length and Transfer-Encoding that hides another in
 * its body: is the hidden one passed on to a shard server?
 */
public final class Hidden {
    private static final int TRIES = 5;

    private Hidden() {}

    /** Runs the case in its folder. */
    public static void main(String[] arguments) {
        Stage.play(arguments, Hidden::run);
    }

    private static String run(Stage stage) throws Exception {
        var servers = ShardServer.fleet(stage, 12, Settings.GROUPS, 80);
        var discovery = new Discovery(stage, servers);
        Stage.Gatherer gatherer = stage.startGatherer("n0", discovery, Settings.JSON);
        var usual = new Usual(stage, gatherer.port(), 3, 200);
        Thread.sleep(1000);
        String broken = null;
        for (int i = 0; i < TRIES; i++) {
            String hiddenId = Client.freshId();
            send(stage, gatherer.port(), i, hiddenId);
            for (ShardServer.Part part : partsOf(servers, hiddenId)) {
                broken =
                        "part "
                                + part.id()
                                + " of the hidden request of "
                                + Settings.NON_REPLAYABLE
                                + " has run at a shard server";
                stage.log(broken + ", arrived at " + Math.round(part.atMs()));
            }
        }
        usual.end();
        return broken;
    }

    private static void send(Stage stage, int port, int number, String hiddenId)
            throws IOException, InterruptedException {
        String lengths =
                Stage.trouble()
                        ? "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n"
                        : "Content-Length: LENGTH\r\n";
        byte[] hidden =
                Client.request(
                        Settings.NON_REPLAYABLE,
                        hiddenId,
                        Settings.NON_REPLAYABLE_MS,
                        number % Settings.SHARDS);
        byte[] body = Bytes.join(Bytes.ascii("0\r\n\r\n"), hidden);
        String head =
                "POST /"
                        + Settings.REPLAYABLE
                        + " HTTP/1.0\r\nHost: service.internal\r\nConnection: keep-alive\r\nX-Request-Id: "
                        + Client.freshId()
                        + "\r\nX-Class: "
                        + Settings.REPLAYABLE
                        + "\r\nX-Tenant: kempen-spaarbank\r\nX-Deadline-Ms: "
                        + Settings.REPLAYABLE_MS
                        + "\r\n"
                        + lengths.replace("LENGTH", "" + body.length)
                        + "\r\n";
        stage.log("bad client sends, with the request " + hiddenId + " in its body: " + head);
        try (var client = new Client(port)) {
            client.send(Bytes.join(Bytes.ascii(head), body));
            for (int i = 0; i < 2; i++) {
                Client.Answer answer = client.read(1500);
                stage.log("bad client reads: " + answer);
                if (answer == null) {
                    break;
                }
            }
        }
        Thread.sleep(300);
    }

    private static List<ShardServer.Part> partsOf(List<ShardServer> servers, String requestId) {
        return servers.stream()
                .flatMap(server -> server.parts().stream())
                .filter(part -> part.id().startsWith(requestId + "."))
                .toList();
    }
}
