package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the shutdown of a gatherer process by signals, as its clients observe it. */
public class ServeShutdownTest {
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    private Process start(Path config, boolean options, Path classes) throws IOException {
        var command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx64m",
                                "-Xlog:class+load:file=" + classes,
                                "-cp",
                                System.getProperty("java.class.path"),
                                "sprucehold.command.Main",
                                "serve"));
        if (options) {
            command.addAll(List.of("--config", config.toString()));
        }
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(name -> name.matches("EDGE_.*|SPRUCEHOLD_.*"));
        if (!options) {
            builder.environment().put("EDGE_CONFIG", config.toString());
            builder.environment().put("EDGE_NAME", "n-env");
        }
        Process process = builder.start();
        var reader =
                new Thread(
                        () -> {
                            try (var lines =
                                    new BufferedReader(
                                            new InputStreamReader(
                                                    process.getInputStream(),
                                                    StandardCharsets.UTF_8))) {
                                lines.lines().forEach(log::add);
                            } catch (IOException | RuntimeException e) {
                                log.add("log ended: " + e);
                            }
                        },
                        "log");
        reader.setDaemon(true);
        reader.start();
        return process;
    }

    private void awaitLine(String part) throws InterruptedException {
        String line;
        do {
            line = log.poll(60, TimeUnit.SECONDS);
            assertTrue(line != null, "no line with: " + part);
        } while (!line.contains(part));
    }

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor(),
                0);
    }

    /**
     * Whether the process ignores SIGHUP. A JVM that is started with SIGHUP ignored, as under
     * nohup, keeps ignoring it.
     */
    private static boolean ignoresHangUp(Process process) throws IOException {
        String ignored =
                Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("SigIgn:"))
                        .findAny()
                        .orElseThrow()
                        .replaceAll(".*\\s", "");
        return (Long.parseUnsignedLong(ignored, 16) & 1) != 0;
    }

    private static String sendAndReadStatus(int port, String id) throws IOException {
        String body = "{\"buckets\":[{\"bucket\":0,\"part\":1}],\"body\":\"c4\"}";
        try (var socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(
                            ("POST /q HTTP/1.1\r\nHost: h\r\nX-Request-Id: "
                                            + id
                                            + "\r\nX-Class: q\r\n"
                                            + "X-Deadline-Ms: 3000\r\nContent-Length: "
                                            + body.length()
                                            + "\r\n\r\n"
                                            + body)
                                    .getBytes(StandardCharsets.UTF_8));
            return new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
                    .readLine();
        }
    }

    @DataProvider
    Object[][] configurationSources() {
        return new Object[][] {{true, "gatherer n in"}, {false, "gatherer n-env in"}};
    }

    @Test(dataProvider = "configurationSources")
    public void queriesAfterSigtermAreAnsweredDespiteFurtherSignals(
            boolean options, String summaryStart) throws Exception {
        int port;
        try (var free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path config = Files.createTempFile("serve", ".json");
        Files.writeString(
                config,
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
                        + "\"known\":{\"index\":7,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"group\":0,"
                        + "\"status\":\"active\"}]},\"settings\":{\"classes\":[{\"name\":\"q\",\"semantics\":\"retryable\",\"aimMs\":100,"
                        + "\"giveUpMs\":3000}],\"familyInfo\":{\"ranges\":1,\"sets\":1},\"limits\":{\"dialTimeoutMs\":250,"
                        + "\"idleCloseMs\":15000}}}");
        Path classes = Files.createTempFile("classes", ".txt");
        Process process = start(config, options, classes);
        try {
            awaitLine(summaryStart);
            awaitLine("listening at");
            assertTrue(sendAndReadStatus(port, "before").startsWith("HTTP/1.1 503"));
            signal(process, "TERM");
            awaitLine("draining");
            // SIGHUP reads the configuration again, and the second SIGTERM arrives during the
            // shutdown.
            if (!ignoresHangUp(process)) {
                signal(process, "HUP");
                awaitLine("SIGHUP");
            }
            signal(process, "TERM");
            for (String id : List.of("one", "two")) {
                String status = sendAndReadStatus(port, id);
                assertTrue(status != null && status.startsWith("HTTP/1.1 503"), status);
            }
            awaitLine("ended: queries_received=3, open_queries=0");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            // 128 plus the number of SIGTERM: the process wasn't killed by SIGKILL.
            assertEquals(process.exitValue(), 143);
            // Without options the classes that parse options aren't loaded.
            assertEquals(Files.readString(classes).contains("picocli.CommandLine$Model"), options);
        } finally {
            process.destroyForcibly();
            Files.delete(config);
            Files.delete(classes);
        }
    }
}
