package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** A gatherer in a process of its own, started by the command {@code serve}. */
final class ServeProcess implements AutoCloseable {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;
    private static final int PORTS_PER_PROCESS = 37;
    private static final AtomicInteger PORTS_TRIED = new AtomicInteger();

    private final int port;
    private final Path config;
    private final Process process;
    private final List<String> log = new ArrayList<>();

    /**
     * Starts a gatherer and waits until it listens.
     *
     * @param settings the settings of the deployment, in JSON
     * @param servers the shard servers, all in one replica group
     * @param jvmOptions options of the JVM
     */
    ServeProcess(String settings, List<RecordingShardServer> servers, List<String> jvmOptions)
            throws IOException {
        port = freePort();
        config = Files.createTempFile("serve", ".json");
        Files.writeString(config, config(port, settings, servers));
        var command = new ArrayList<String>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of("sprucehold.command.Main", "serve", "--config", config.toString()));
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.matches("EDGE_.*|SPRUCEHOLD_.*"));
        process = builder.start();
        awaitListening();
    }

    /**
     * Returns a port that is free. It is below the ports that the system gives to connections, so
     * that no connection takes it before the gatherer listens, a second or two later.
     */
    private static int freePort() throws IOException {
        long first = ProcessHandle.current().pid() * PORTS_PER_PROCESS + PORTS_TRIED.get();
        for (int tries = 0; tries < PORTS; tries++) {
            int port = FIRST_PORT + (int) ((first + tries) % PORTS);
            PORTS_TRIED.incrementAndGet();
            try (var free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            } catch (BindException e) {
                // Taken; the next one is tried.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT);
    }

    private static String config(int port, String settings, List<RecordingShardServer> servers) {
        String endpoints =
                servers.stream()
                        .map(
                                server ->
                                        String.format(
                                                "{\"name\":\"s%d\",\"address\":\"127.0.0.1:%d\","
                                                        + "\"group\":0,\"status\":\"active\"}",
                                                server.port(), server.port()))
                        .collect(Collectors.joining(","));
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:"
                + port
                + "\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                + "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":["
                + endpoints
                + "]},\"settings\":"
                + settings
                + "}";
    }

    /** Returns the options of the JVM with which a gatherer is deployed, of the given file. */
    static List<String> optionsOf(Path file) throws IOException {
        return Files.readAllLines(file).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .flatMap(line -> Arrays.stream(line.strip().split(" +")))
                .toList();
    }

    private void awaitListening() throws IOException {
        var lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = lines.readLine();
        while (line != null && !line.contains("listening at")) {
            record(line);
            line = lines.readLine();
        }
        assertTrue(line != null, "the gatherer ended before it listened: " + log());
        var reader = new Thread(() -> lines.lines().forEach(this::record), "log");
        reader.setDaemon(true);
        reader.start();
    }

    private synchronized void record(String line) {
        log.add(line);
    }

    /** Returns the lines of the log so far. */
    synchronized List<String> log() {
        return List.copyOf(log);
    }

    /** Returns the port on which the gatherer listens. */
    int port() {
        return port;
    }

    Process process() {
        return process;
    }

    /** Returns the largest resident memory of the process so far, in KiB. */
    long peakResidentKib() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .findFirst()
                .orElseThrow();
    }

    /** Fails unless the process runs. */
    void assertAlive() {
        if (!process.isAlive()) {
            assertEquals(process.exitValue(), 0, "the gatherer has ended: " + log());
        }
        assertTrue(process.isAlive(), "the gatherer has ended: " + log());
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.delete(config);
    }
}
