package stage;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Discovery: tells the whole list, and holds watches until something changes or their wait is over.
 * Its open connections can fall silent; it serves those that are opened later.
 */
public final class Discovery {
    private static final int FIRST_INDEX = 41;

    private final Stage stage;
    private final ServerSocket listener;
    private final List<ShardServer> servers;
    private final Set<Socket> open = new HashSet<>();
    private final Set<Socket> silent = new HashSet<>();
    private List<ShardServer> draining = List.of();
    private int index = FIRST_INDEX;
    private double waitEndsMs = Double.NaN;
    private double toldMs = Double.POSITIVE_INFINITY;

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

    /** Lets all connections that are open now fall silent: they stay open, and nothing is said. */
    public synchronized void fallSilent() {
        silent.addAll(open);
        stage.log(silent.size() + " open connections to discovery fall silent");
        notifyAll();
    }

    /** Lists these servers as draining from now on. */
    public synchronized void drain(List<ShardServer> servers) {
        draining = List.copyOf(servers);
        index += servers.size();
        stage.log(
                "discovery lists as draining: "
                        + servers.stream().map(ShardServer::name).toList());
        notifyAll();
    }

    /** Returns when the wait of the latest watch ends that asked for more than a second. */
    public synchronized double waitEndsMs() {
        return waitEndsMs;
    }

    /** Returns when the draining servers were first told in an answer; infinite before that. */
    public synchronized double toldMs() {
        return toldMs;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        synchronized (this) {
            open.add(socket);
        }
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
                String body = answer(socket, path);
                if (body != null) {
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    String head =
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + bytes.length
                                    + "\r\n\r\n";
                    socket.getOutputStream().write(Bytes.join(Bytes.ascii(head), bytes));
                }
            }
        } finally {
            synchronized (this) {
                open.remove(socket);
            }
        }
    }

    /** Returns the answer to a call, or null if its connection is or falls silent. */
    private synchronized String answer(Socket socket, String path) throws InterruptedException {
        int after = number(path, "after=");
        int waitMs = number(path, "wait_ms=");
        boolean quiet = silent.contains(socket);
        if (draining.isEmpty() || quiet || waitMs > 1000) {
            stage.log(
                    "call for " + path + (quiet ? " on a silent connection, not answered" : ""));
        }
        double endsMs = stage.nowMs() + Math.max(0, waitMs);
        if (waitMs > 1000 && draining.isEmpty()) {
            waitEndsMs = endsMs;
        }
        while (!silent.contains(socket) && after >= index && stage.nowMs() < endsMs) {
            wait((long) Math.max(1, endsMs - stage.nowMs()));
        }
        if (silent.contains(socket)) {
            return null;
        }
        if (after < 0) {
            told();
            return list(true, servers);
        }
        boolean news = after < index;
        if (news) {
            told();
        }
        return list(false, news ? draining : List.of());
    }

    private void told() {
        if (!draining.isEmpty() && toldMs == Double.POSITIVE_INFINITY) {
            toldMs = stage.nowMs();
            stage.log("discovery tells of the draining servers");
        }
    }

    private static int number(String path, String key) {
        int at = path.indexOf(key);
        return at < 0 ? -1 : Integer.parseInt(path.substring(at + key.length()).split("&")[0]);
    }

    private String list(boolean whole, List<ShardServer> listed) {
        var entries = new ArrayList<String>();
        for (ShardServer server : listed) {
            entries.add(
                    "{\"name\":\""
                            + server.name()
                            + "\",\"address\":\"127.0.0.1:"
                            + server.port()
                            + "\",\"zone\":\""
                            + server.zone()
                            + "\",\"type\":\"m1\",\"group\":"
                            + server.group()
                            + ",\"status\":\""
                            + (draining.contains(server) ? "leaving" : "active")
                            + "\",\"weight\":1.0,\"since_ms\":0}");
        }
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + whole
                + ",\"endpoints\":["
                + String.join(",", entries)
                + "]}";
    }
}
