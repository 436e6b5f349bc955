package stage;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Agent of discovery: tells the whole list, and holds watches until their wait is over. */
public final class Discovery {
    private static final int INDEX = 41;

    private final Stage stage;
    private final ServerSocket listener;
    private final List<ShardServer> servers;

    /** Starts an agent that lists these servers. */
    public Discovery(Stage stage, List<ShardServer> servers) throws IOException {
        this.stage = stage;
        this.servers = List.copyOf(servers);
        this.listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", this::accept);
    }

    /** Returns the agent's port. */
    public int port() {
        return listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start("discovery call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            var in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String path = line.split(" ")[1];
                while (!in.readLine().isEmpty()) {
                    // The heads tell nothing more.
                }
                String body;
                int wait = path.indexOf("wait_ms=");
                if (wait >= 0) {
                    Thread.sleep(Long.parseLong(path.substring(wait + 8).split("&")[0]));
                    body = "{\"index\":" + INDEX + ",\"snapshot\":false,\"endpoints\":[]}";
                } else {
                    body = wholeList();
                    stage.log("discovery tells its whole list, " + servers.size() + " servers");
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head =
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + bytes.length
                                + "\r\n\r\n";
                socket.getOutputStream().write(Bytes.join(Bytes.ascii(head), bytes));
            }
        }
    }

    private String wholeList() {
        var entries = new ArrayList<String>();
        for (ShardServer server : servers) {
            entries.add(
                    "{\"name\":\""
                            + server.name()
                            + "\",\"address\":\"127.0.0.1:"
                            + server.port()
                            + "\",\"zone\":\""
                            + server.zone()
                            + "\",\"type\":\"m1\",\"group\":"
                            + server.group()
                            + ",\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}");
        }
        return "{\"index\":"
                + INDEX
                + ",\"snapshot\":true,\"endpoints\":["
                + String.join(",", entries)
                + "]}";
    }
}
