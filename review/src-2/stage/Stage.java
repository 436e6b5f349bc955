package stage;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, and the gatherers that it started. Times are
 * in milliseconds since the start of the run.
 */
public final class Stage implements AutoCloseable {
    /** What a case does on its stage. */
    public interface Play {
        /**
         * Plays the case.
         *
         * @return what broke the rule, or null if the rule held
         */
        String run(Stage stage) throws Exception;
    }

    /** Thrown if the case can't run. */
    public static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    private static final String LOOPBACK = "127.0.0.1";
    private static final long READY_WITHIN_MS = 30_000;

    /** Time after which a run is ended as one that couldn't run. */
    private static final long LIMIT_MS = 110_000;

    private final long startedNanos = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final List<Gatherer> gatherers = new ArrayList<>();

    private Stage(Path caseFolder) throws IOException {
        record =
                new PrintWriter(
                        Files.newBufferedWriter(
                                caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
        folder = Files.createTempDirectory("review-case");
    }

    /**
     * Runs a case and ends this process: exit 0 if the rule held, 1 if it was broken, 2 if the case
     * couldn't run.
     *
     * @param arguments the folder of the case
     */
    public static void play(String[] arguments, Play play) {
        int status = 2;
        try (Stage stage = new Stage(Path.of(arguments[0]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(stage::killAll));
            Threads.start("time limit", stage::endAtLimit);
            try {
                String broken = play.run(stage);
                stage.log(broken == null ? "rule held" : "rule broken: " + broken);
                System.out.println(broken == null ? "held" : "broken: " + broken);
                status = broken == null ? 0 : 1;
            } catch (Throwable e) {
                // Whatever it is, it isn't the rule that was broken.
                stage.log("the case couldn't run: " + e);
                System.out.println("couldn't run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            System.out.println("couldn't run: " + e);
        }
        System.exit(status);
    }

    /** Returns whether the disruption is wanted, which TROUBLE=0 turns off. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns the time since the start of the run. */
    public double nowMs() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    /** Writes a line to the record. */
    public void log(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%10.1f %s%n", nowMs(), line);
        }
    }

    /** Returns a port of the loopback address that is free now. */
    public static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }

    /**
     * Starts a gatherer by the {@code run} line of the deploy file, and waits until GET /up answers
     * 200.
     *
     * @param settings the settings of the deployment, as a JSON object
     */
    public Gatherer startGatherer(String name, Discovery discovery, String settings)
            throws IOException, InterruptedException {
        int port = freePort();
        String listen = LOOPBACK + ":" + port;
        String list = LOOPBACK + ":" + discovery.port();
        Path own = Files.createDirectory(folder.resolve(name));
        Path config = own.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\""
                        + name
                        + "\",\"listen\":\""
                        + listen
                        + "\",\"discovery\":\""
                        + list
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"settings\":"
                        + settings
                        + "}");
        Path output = own.resolve("output.txt");
        var builder = new ProcessBuilder("/bin/sh", "-c", runLine());
        builder.environment()
                .putAll(
                        Map.of(
                                "EDGE_NAME", name,
                                "EDGE_LISTEN", listen,
                                "EDGE_DISCOVERY", list,
                                "EDGE_CONFIG", config.toString(),
                                "TMPDIR", own.toString()));
        builder.redirectErrorStream(true).redirectOutput(output.toFile());
        var gatherer = new Gatherer(name, port, builder.start(), output);
        gatherers.add(gatherer);
        double untilMs = nowMs() + READY_WITHIN_MS;
        while (!isUp(port)) {
            if (!gatherer.process.isAlive() || nowMs() > untilMs) {
                throw new CannotRun("gatherer " + name + " isn't ready: " + gatherer.output());
            }
            Thread.sleep(50);
        }
        log("gatherer " + name + " is up at " + listen);
        return gatherer;
    }

    private static String runLine() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new CannotRun("deploy/balancer.toml has no run");
        }
        return run.group(1);
    }

    private static boolean isUp(int port) {
        try (var socket = new Socket(LOOPBACK, port)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write(
                            "GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    private void endAtLimit() throws InterruptedException {
        Thread.sleep(LIMIT_MS);
        log("the case couldn't run: it took too long");
        killAll();
        synchronized (record) {
            record.flush();
        }
        Runtime.getRuntime().halt(2);
    }

    private void killAll() {
        gatherers.forEach(gatherer -> gatherer.process.destroyForcibly());
    }

    @Override
    public void close() {
        killAll();
        for (Gatherer gatherer : gatherers) {
            try {
                gatherer.process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (record) {
                record.println("output of gatherer " + gatherer.name + ":");
                record.println(gatherer.output());
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            System.out.println("can't remove " + folder);
        }
    }

    /** A gatherer's process. */
    public static final class Gatherer {
        private final String name;
        private final int port;
        private final Process process;
        private final Path output;

        Gatherer(String name, int port, Process process, Path output) {
            this.name = name;
            this.port = port;
            this.process = process;
            this.output = output;
        }

        /** Returns the port for clients. */
        public int port() {
            return port;
        }

        /** Returns the process that the run line started. */
        public Process process() {
            return process;
        }

        /** Returns what the process wrote, at most the last 6,000 characters. */
        public String output() {
            try {
                String all = Files.readString(output, StandardCharsets.UTF_8);
                return all.substring(Math.max(0, all.length() - 6000));
            } catch (IOException e) {
                return "unreadable: " + e;
            }
        }
    }
}
