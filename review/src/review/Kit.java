package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Stand-ins for clients, shard servers and discovery, and the start of a gatherer, on loopback. */
final class Kit implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the disruption is played; with TROUBLE=0 it is not. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, Kit::daemon);
    final Path folder;
    final Path root;
    final Path temporary;

    /** Runs a case in the folder of the first argument and ends this process with its result. */
    static void run(String[] arguments, Case test) {
        int result = COULD_NOT_RUN;
        try (var kit = new Kit(Path.of(arguments[0]).toAbsolutePath().normalize())) {
            kit.log("trouble " + (TROUBLE ? "on" : "off"));
            // The process is ended from outside only if it hangs; it ends its children first.
            kit.timers.schedule(
                    () -> {
                        kit.log("result: could not run, 110 s have passed");
                        kit.close();
                        Runtime.getRuntime().halt(COULD_NOT_RUN);
                    },
                    110,
                    TimeUnit.SECONDS);
            try {
                result = test.play(kit);
            } catch (Exception e) {
                kit.log("could not run: " + e);
            }
            kit.log("result: " + List.of("held", "broken", "could not run").get(result));
        } catch (IOException e) {
            System.err.println("could not run: " + e);
        }
        System.exit(result);
    }

    interface Case {
        int play(Kit kit) throws Exception;
    }

    private Kit(Path folder) throws IOException {
        this.folder = folder;
        this.root = folder.getParent().getParent();
        this.temporary = Files.createTempDirectory("review");
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static Thread daemon(Runnable work) {
        var thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    double nowMs() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    synchronized void log(String line) {
        record.println(String.format("%9.1f %s", nowMs(), line));
        record.flush();
    }

    static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    }

    @Override
    public void close() {
        List<AutoCloseable> all;
        synchronized (closeables) {
            all = new ArrayList<>(closeables);
            closeables.clear();
        }
        for (AutoCloseable closeable : all) {
            try {
                closeable.close();
            } catch (Exception e) {
                // Closing goes on with the others.
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // The folder is removed already.
        }
    }

    void closeAtEnd(AutoCloseable closeable) {
        synchronized (closeables) {
            closeables.add(0, closeable);
        }
    }

    /** The value that a shard server makes for a part; a client expects exactly this one. */
    static String value(String body, int shard) {
        long hash = 1125899906842597L;
        for (char c : (body + "/" + shard).toCharArray()) {
            hash = 31 * hash + c;
        }
        return String.format("%016x", hash);
    }

    /** One shard server as discovery lists it. */
    static final class Endpoint {
        final String name;
        final int group;
        final String zone;
        final ShardServer server;
        volatile String status = "active";
        volatile long changedAt = 1;

        Endpoint(String name, int group, String zone, ShardServer server) {
            this.name = name;
            this.group = group;
            this.zone = zone;
            this.server = server;
        }

        String json() {
            return String.format(
                    "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"m1\","
                        + "\"group\":%d,\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0}",
                    name, server.port, zone, group, status);
        }
    }

    /** Discovery as one gatherer reaches it: the whole list, or a watch on changes. */
    static final class Discovery implements AutoCloseable {
        /** A call that waits for a change. */
        private static final class Watch {
            final double begunAtMs;
            final long waitMs;
            boolean silent;

            Watch(double begunAtMs, long waitMs) {
                this.begunAtMs = begunAtMs;
                this.waitMs = waitMs;
            }
        }

        /** What a silent watch misses counts as told so long after the silence began. */
        private static final double TOLD_AFTER_SILENCE_MS = 6000;

        /** For a long poll: so long after its wait is over, if that is later. */
        private static final double TOLD_AFTER_WAIT_MS = 2000;

        final int port;
        private final Kit kit;
        private final String gatherer;
        private final ServerSocket listener;
        private final List<Endpoint> endpoints;
        private final List<Watch> watches = new ArrayList<>();
        private long index = 1;
        private int calls;
        private boolean crowded;
        private double toldAtTheLatestMs = Double.POSITIVE_INFINITY;
        private double toldOfDrainsAtMs = Double.POSITIVE_INFINITY;

        Discovery(Kit kit, String gatherer, List<Endpoint> endpoints) throws IOException {
            this.kit = kit;
            this.gatherer = gatherer;
            this.endpoints = endpoints;
            this.listener = new ServerSocket(0, 50, loopback());
            this.port = listener.getLocalPort();
            kit.closeAtEnd(this);
            daemon(this::accept).start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket)).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (String head = readHead(in); head != null; head = readHead(in)) {
                    String line = head.substring(0, head.indexOf('\r'));
                    kit.log(gatherer + " asks discovery: " + line);
                    String body = answer(line);
                    if (body == null) {
                        // Silent: the connection stays open until the gatherer closes it.
                        while (in.read() >= 0) {}
                        return;
                    }
                    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                    String status = body.startsWith("{") ? "200 OK" : "503 Service Unavailable";
                    String answer =
                            "HTTP/1.1 " + status + "\r\nContent-Length: " + bytes.length
                                    + "\r\n\r\n" + body;
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    kit.log("discovery answers " + gatherer + ": " + status + " " + body);
                    if (body.contains("leaving")) {
                        tell(kit.nowMs());
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The connection is gone.
            }
        }

        private synchronized void tell(double atMs) {
            toldOfDrainsAtMs = Math.min(toldOfDrainsAtMs, atMs);
        }

        /** Returns the body of an answer; null if the call has fallen silent. */
        private synchronized String answer(String line) throws InterruptedException {
            calls++;
            if (crowded && calls > 1) {
                return "crowded";
            }
            long after = parameter(line, "after");
            var watch = new Watch(kit.nowMs(), Math.max(0, parameter(line, "wait_ms")));
            watches.add(watch);
            double untilMs = watch.begunAtMs + watch.waitMs;
            while (!watch.silent && after >= 0 && index <= after && kit.nowMs() < untilMs) {
                wait(Math.max(1, (long) (untilMs - kit.nowMs())));
            }
            watches.remove(watch);
            if (watch.silent) {
                return null;
            }
            var entries = new ArrayList<String>();
            for (Endpoint endpoint : endpoints) {
                if (after < 0 || endpoint.changedAt > after) {
                    entries.add(endpoint.json());
                }
            }
            return "{\"index\":"
                    + index
                    + ",\"snapshot\":"
                    + (after < 0)
                    + ",\"endpoints\":["
                    + String.join(",", entries)
                    + "]}";
        }

        private static long parameter(String line, String name) {
            int at = line.indexOf(name + "=");
            if (at < 0) {
                return -1;
            }
            return Long.parseLong(line.substring(at + name.length() + 1).split("[^0-9]")[0]);
        }

        /** While discovery is crowded, it refuses all calls but the first of a gatherer. */
        synchronized void setCrowded(boolean crowded) {
            this.crowded = crowded;
        }

        /** All open watches fall silent. New calls are answered. */
        synchronized void fallSilent() {
            double nowMs = kit.nowMs();
            toldAtTheLatestMs = nowMs + TOLD_AFTER_SILENCE_MS;
            for (Watch watch : watches) {
                watch.silent = true;
                toldAtTheLatestMs =
                        Math.max(
                                toldAtTheLatestMs,
                                watch.begunAtMs + watch.waitMs + TOLD_AFTER_WAIT_MS);
                kit.log(
                        String.format(
                                "the watch of %s, begun at %.0f with a wait of %d, falls silent;"
                                        + " what it misses counts as told at %.0f",
                                gatherer, watch.begunAtMs, watch.waitMs, toldAtTheLatestMs));
            }
            notifyAll();
        }

        /** Has a new version of the list, whose changes are set in the endpoints already. */
        synchronized void changed(long newIndex) {
            index = newIndex;
            notifyAll();
        }

        /** When the gatherer counts as told of the servers that drain. */
        synchronized double toldOfDrainsAtMs() {
            return Math.min(toldOfDrainsAtMs, toldAtTheLatestMs);
        }

        String list() {
            var entries = new ArrayList<String>();
            endpoints.forEach(endpoint -> entries.add(endpoint.json()));
            return "{\"index\":1,\"snapshot\":true,\"endpoints\":["
                    + String.join(",", entries)
                    + "]}";
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Reads up to the empty line; null at the end of the stream. */
    static String readHead(InputStream in) throws IOException {
        var head = new ByteArrayOutputStream();
        int last = 0;
        while (last < 4) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
            boolean expected = (last % 2 == 0) ? b == '\r' : b == '\n';
            last = expected ? last + 1 : (b == '\r' ? 1 : 0);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** One part as a shard server receives it. */
    record Part(String id, int shard, String list, String body) {}

    /** What a shard server does with a part. */
    interface Behaviour {
        void received(Link link, Part part) throws IOException;
    }

    /** One connection of a gatherer to a shard server. */
    static final class Link {
        final ShardServer server;
        private final OutputStream out;

        Link(ShardServer server, OutputStream out) {
            this.server = server;
            this.out = out;
        }

        /** Writes the bytes in one piece. */
        synchronized void write(byte[] bytes) {
            try {
                out.write(bytes);
                out.flush();
            } catch (IOException e) {
                // The gatherer has closed the connection.
            }
        }

        void hit(Part part, int afterMs) {
            byte[] content = answer(part.id, "hit", value(part.body, part.shard));
            server.kit.timers.schedule(
                    () -> write(frame(content, content.length)), afterMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Content of an answer to a part, without its length. */
    static byte[] answer(String id, String end, String value) {
        return ("E" + id + " " + end + " 1 -\n" + value).getBytes(StandardCharsets.UTF_8);
    }

    /** A frame whose length field says {@code length}. */
    static byte[] frame(byte[] content, int length) {
        var bytes = new ByteArrayOutputStream();
        for (int i = 0; i < 4; i++) {
            bytes.write(length >>> (8 * i));
        }
        bytes.writeBytes(content);
        return bytes.toByteArray();
    }

    /** Shard server; answers each part as its behaviour says. */
    static final class ShardServer implements AutoCloseable {
        final int port;
        final String name;
        final Kit kit;
        volatile Behaviour behaviour;
        private final ServerSocket listener;

        ShardServer(Kit kit, String name, Behaviour behaviour) throws IOException {
            this.kit = kit;
            this.name = name;
            this.behaviour = behaviour;
            this.listener = new ServerSocket(0, 200, loopback());
            this.port = listener.getLocalPort();
            kit.closeAtEnd(this);
            daemon(this::accept).start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket)).start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                var in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                var link = new Link(this, socket.getOutputStream());
                while (true) {
                    int length = Integer.reverseBytes(in.readInt());
                    byte[] content = new byte[length];
                    in.readFully(content);
                    received(link, content);
                }
            } catch (EOFException e) {
                // The gatherer has closed the connection.
            } catch (IOException e) {
                // The connection is reset.
            }
        }

        private void received(Link link, byte[] content) throws IOException {
            switch (content[0]) {
                case 'A' -> {
                    int at = 1;
                    while (at < content.length) {
                        int end = at;
                        while (content[end] != '\n') {
                            end++;
                        }
                        String[] fields =
                                new String(content, at, end - at, StandardCharsets.UTF_8)
                                        .split(" ");
                        int length = Integer.parseInt(fields[3]);
                        String body =
                                new String(content, end + 1, length, StandardCharsets.UTF_8);
                        at = end + 1 + length;
                        behaviour.received(
                                link,
                                new Part(fields[0], Integer.parseInt(fields[1]), fields[2], body));
                    }
                }
                case 'C' -> link.write(frame("Chit".getBytes(StandardCharsets.UTF_8), 4));
                case 'D' -> link.write(frame("D-".getBytes(StandardCharsets.UTF_8), 2));
                default -> {
                    // A part is given up; the stand-in goes on with it.
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Gatherer that is started by the deploy file's command. */
    final class Gatherer implements AutoCloseable {
        final int port;
        final Process process;

        private final String name;

        /** Starts a gatherer; {@link #awaitReady} returns once it is ready. */
        Gatherer(Discovery discovery, String settings, int sockets) throws IOException {
            name = discovery.gatherer;
            port = freePort();
            String listen = "127.0.0.1:" + port;
            String agent = "127.0.0.1:" + discovery.port;
            Path directory = Files.createDirectories(temporary.resolve(name).resolve("tmp"));
            Path config = temporary.resolve(name).resolve("config.json");
            Files.writeString(
                    config,
                    String.format(
                            "{\"name\":\"%s\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%x\","
                                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":%d},"
                                + "\"known\":%s,\"settings\":%s}",
                            name,
                            listen,
                            agent,
                            System.nanoTime(),
                            sockets,
                            discovery.list(),
                            settings));
            var builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(root.toFile());
            Map<String, String> environment = builder.environment();
            environment.put("EDGE_CONFIG", config.toString());
            environment.put("EDGE_NAME", name);
            environment.put("EDGE_LISTEN", listen);
            environment.put("EDGE_DISCOVERY", agent);
            environment.put("TMPDIR", directory.toString());
            builder.redirectErrorStream(true);
            log("starts " + name + ": " + runCommand());
            process = builder.start();
            closeAtEnd(this);
            daemon(this::copyLog).start();
        }

        private String runCommand() throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IOException("the deploy file has no run");
        }

        private void copyLog() {
            try (var lines = process.inputReader()) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    log("gatherer " + name + ": " + line);
                }
            } catch (IOException e) {
                // The gatherer has ended.
            }
        }

        void awaitReady() throws IOException, InterruptedException {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    break;
                }
                try (var client = new Client(port, 1000)) {
                    if (client.call("GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n").status
                            == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                Thread.sleep(100);
            }
            throw new IOException("the gatherer is not ready");
        }

        @Override
        public void close() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor();
        }
    }

    /** What a client got. */
    record Reply(int status, String body, boolean last) {}

    /** Connection of a client, with one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port, int timeoutMs) throws IOException {
            socket.connect(new InetSocketAddress(loopback(), port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        Reply call(String request) throws IOException {
            send(request);
            return receive();
        }

        void send(String request) throws IOException {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        }

        Reply receive() throws IOException {
            String head = readHead(in);
            if (head == null) {
                throw new EOFException("closed without an answer");
            }
            int at = head.toLowerCase().indexOf("content-length:");
            int length =
                    at < 0 ? 0 : Integer.parseInt(head.substring(at + 15).split("\r")[0].strip());
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("closed in the middle of an answer");
            }
            return new Reply(
                    Integer.parseInt(head.split(" ")[1]),
                    new String(body, StandardCharsets.UTF_8),
                    head.toLowerCase().contains("connection: close"));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A query of parts of equal weight. */
    static String query(String id, String queryClass, int deadlineMs, int[] shards, String body) {
        var parts = new ArrayList<String>();
        for (int shard : shards) {
            parts.add("{\"bucket\":" + shard + ",\"part\":" + 1.0 / shards.length + "}");
        }
        String json = "{\"buckets\":[" + String.join(",", parts) + "],\"body\":\"" + body + "\"}";
        return "POST /"
                + queryClass
                + " HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: "
                + id
                + "\r\nX-Class: "
                + queryClass
                + "\r\nX-Tenant: acme\r\nX-Deadline-Ms: "
                + deadlineMs
                + "\r\nContent-Length: "
                + json.length()
                + "\r\n\r\n"
                + json;
    }

    /** Settings of a small deployment: ten shards in two cells, three classes, a pushed list. */
    static String settings() {
        return settings(1, "automatic", 250);
    }

    /**
     * Settings of a small deployment.
     *
     * @param discovery {@code automatic} if the list is pushed, {@code subscribe} if it is asked for
     */
    static String settings(int gatherers, String discovery, int drainGraceMs) {
        return "{\"balancers\":"
                + gatherers
                + ",\"locality\":\"a\",\"dcs\":[\"a\",\"b\"],\"quantumMs\":5.0,"
                + "\"overShareWorth\":0.2,\"discovery\":\""
                + discovery
                + "\",\"classes\":["
                + "{\"name\":\"offers\",\"semantics\":\"retryable\",\"aimMs\":1200.0,"
                + "\"giveUpMs\":4000.0,\"worth\":2.0,\"lateValue\":0.3,\"windowMs\":5000.0},"
                + "{\"name\":\"receipts\",\"semantics\":\"retryable\",\"aimMs\":800.0,"
                + "\"giveUpMs\":1500.0,\"worth\":1.0,\"lateValue\":0.1,\"windowMs\":5000.0},"
                + "{\"name\":\"stamps\",\"semantics\":\"fragile\",\"aimMs\":800.0,"
                + "\"giveUpMs\":2500.0,\"worth\":1.0,\"lateValue\":0.3,\"windowMs\":5000.0}],"
                + "\"tenants\":[{\"name\":\"acme\",\"allowancePerS\":200.0,\"share\":1.0}],"
                + "\"familyInfo\":{\"ranges\":10,\"sets\":2,\"width\":1,\"bundleMax\":1,"
                + "\"callMs\":0.0,\"completeFrom\":[0.75,1.0,1.0],\"leastShare\":[0.75,1.0,1.0],"
                + "\"classFetch\":[0,0,0]},\"feedback\":{\"source\":\"none\",\"fields\":[]},"
                + "\"limits\":{\"cancel\":true,\"dialTimeoutMs\":250.0,\"idleCloseMs\":15000.0,"
                + "\"maxOpen\":200,\"maxRetryAfterMs\":1000.0,\"retryAfter\":true,\"probes\":true,"
                + "\"secondCopies\":true,\"sendCap\":4,\"streamsPerConn\":32,\"peers\":false},"
                + "\"safety\":{\"answerSlackMs\":20.0,\"coldFrom\":0.16,\"coldMs\":17000.0,"
                + "\"drainGraceMs\":"
                + drainGraceMs
                + ",\"fallMultiple\":4.0,\"overloadForMs\":1000.0,"
                + "\"mustAskInMs\":10000.0}}";
    }

    /** Two cells with {@code replicas} shard servers each, in two zones. */
    List<Endpoint> endpoints(int replicas, Behaviour behaviour) throws IOException {
        var endpoints = new ArrayList<Endpoint>();
        for (int group = 0; group < 2; group++) {
            for (int i = 0; i < replicas; i++) {
                String name = "s-" + group + i;
                endpoints.add(
                        new Endpoint(
                                name,
                                group,
                                i % 2 == 0 ? "a" : "b",
                                new ShardServer(this, name, behaviour)));
            }
        }
        return endpoints;
    }

    /** Counts by name, for the summary of a record. */
    static final class Counts {
        private final Map<String, Integer> counts =
                java.util.Collections.synchronizedMap(new LinkedHashMap<>());

        void add(String name) {
            counts.merge(name, 1, Integer::sum);
        }

        int of(String name) {
            return counts.getOrDefault(name, 0);
        }

        @Override
        public String toString() {
            return counts.toString();
        }
    }

    static <K> java.util.Set<K> concurrentSet() {
        return ConcurrentHashMap.newKeySet();
    }
}
