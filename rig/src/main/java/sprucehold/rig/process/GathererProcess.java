package sprucehold.rig.process;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sprucehold.rig.plan.Plan;

/**
 * Runs one gatherer in a separate process, which may be started, signalled and ended repeatedly.
 */
public final class GathererProcess {
    /**
     * Maximum time until a gatherer is ready, in milliseconds. A gatherer that is started with its
     * usual command is ready in a few seconds, but gatherers that start at the same time share the
     * cores and take longer.
     */
    private static final long MAX_START_MS = 60_000;

    private static final long READY_POLL_MS = 25;

    private final Vertx vertx;
    private final Context context;
    private final GathererProgram program;
    private final Guardian guardian;
    private final String name;
    private final SocketAddress address;
    private final BoundedLog log;
    private final NetClient client;
    private List<String> command;
    private Process process;
    private Future<Integer> ended = Future.succeededFuture(0);
    private long peakKb;
    private long readyNanos;
    private long readyCpuMs;
    private double cores;

    /**
     * @param address the address at which the gatherer listens
     * @param logFile the file that receives its output, from all its starts
     */
    public GathererProcess(
            Vertx vertx,
            GathererProgram program,
            Guardian guardian,
            String name,
            SocketAddress address,
            Path logFile) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.program = program;
        this.guardian = guardian;
        this.name = name;
        this.address = address;
        this.log = new BoundedLog(logFile);
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000));
    }

    /**
     * Starts the gatherer.
     *
     * @param together the cluster file, or null if the gatherer doesn't exchange messages with
     *     others
     * @return succeeds when the gatherer reports that it is ready; fails with a one-line message if
     *     the process ends or takes too long
     */
    public Future<Void> start(Path config, Path together, Plan.Clocks clocks) {
        return start(program.serve(clocks, config, together));
    }

    Future<Void> start(List<String> fullCommand) {
        command = fullCommand;
        Promise<Integer> exited = Promise.promise();
        ended = exited.future();
        return vertx.executeBlocking(
                        () -> {
                            // The shell waits for a line before it executes the gatherer. The line
                            // is sent only after the process is registered with the guardian, so
                            // that the guardian can always kill it.
                            var all =
                                    new ArrayList<>(
                                            List.of(
                                                    "/bin/sh",
                                                    "-c",
                                                    "read -r go || exit 1; exec \"$0\" \"$@\" </dev/null"));
                            all.addAll(command);
                            Process started =
                                    new ProcessBuilder(all)
                                            .directory(program.root().toFile())
                                            .redirectErrorStream(true)
                                            .start();
                            guardian.add(started.pid());
                            log.drain(started.getInputStream(), name);
                            started.getOutputStream()
                                    .write("go\n".getBytes(StandardCharsets.US_ASCII));
                            started.getOutputStream().close();
                            started.onExit()
                                    .thenAccept(
                                            gone -> {
                                                guardian.del(gone.pid());
                                                context.runOnContext(
                                                        none ->
                                                                exited.tryComplete(
                                                                        gone.exitValue()));
                                            });
                            return started;
                        })
                .compose(
                        started -> {
                            process = started;
                            return ready(System.nanoTime() + MAX_START_MS * 1_000_000);
                        });
    }

    private Future<Void> ready(long deadlineNanos) {
        if (ended.isComplete()) {
            return Future.failedFuture(
                    new IOException(
                            name
                                    + " ended with exit code "
                                    + ended.result()
                                    + " before it was ready: "
                                    + log.lastLine()));
        }
        if (System.nanoTime() > deadlineNanos) {
            return Future.failedFuture(
                    new IOException(
                            name
                                    + " was not ready within "
                                    + MAX_START_MS / 1000
                                    + " s: "
                                    + log.lastLine()));
        }
        Promise<Boolean> isUp = Promise.promise();
        client.connect(address)
                .onComplete(
                        socket -> {
                            socket.handler(
                                    bytes -> {
                                        isUp.tryComplete(
                                                bytes.toString().startsWith("HTTP/1.1 200"));
                                        socket.close();
                                    });
                            socket.closeHandler(none -> isUp.tryComplete(false));
                            socket.exceptionHandler(failure -> {});
                            socket.write(
                                    "GET /up HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
                        },
                        refused -> isUp.tryComplete(false));
        return isUp.future()
                .onSuccess(
                        ready -> {
                            if (ready) {
                                readyNanos = System.nanoTime();
                                readyCpuMs = cpuMs();
                            }
                        })
                .compose(
                        ready ->
                                ready
                                        ? Future.succeededFuture()
                                        : vertx.timer(READY_POLL_MS)
                                                .compose(waited -> ready(deadlineNanos)));
    }

    public boolean alive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal, given by its name such as {@code KILL}, to this process alone. */
    public Future<Void> signal(String signal) {
        if (!alive()) {
            return Future.succeededFuture();
        }
        long pid = process.pid();
        peakKb = Math.max(peakKb, peakMemoryKb(pid));
        cores = (cpuMs() - readyCpuMs) / Math.max(1, (System.nanoTime() - readyNanos) / 1e6);
        return vertx.executeBlocking(
                        () -> {
                            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + pid)
                                    .redirectErrorStream(true)
                                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                                    .start()
                                    .waitFor(5, TimeUnit.SECONDS);
                            return null;
                        })
                .mapEmpty();
    }

    /** Returns a future that succeeds with the exit code when the process has ended. */
    public Future<Integer> ended() {
        return ended;
    }

    /**
     * Sends SIGTERM, and SIGKILL if the process is still alive after the given time. Succeeds with
     * true if the process ended without SIGKILL.
     */
    public Future<Boolean> end(long withinMs) {
        if (!alive()) {
            return Future.succeededFuture(true);
        }
        Promise<Boolean> gone = Promise.promise();
        long timer =
                vertx.setTimer(
                        withinMs,
                        late -> {
                            if (gone.tryComplete(false)) {
                                signal("KILL");
                            }
                        });
        ended.onComplete(
                code -> {
                    vertx.cancelTimer(timer);
                    gone.tryComplete(true);
                });
        return signal("CONT")
                .compose(awake -> signal("TERM"))
                .compose(signalled -> gone.future())
                .compose(endedItself -> ended.map(endedItself));
    }

    /** Returns the peak memory of the process, in kilobytes, as read before each signal. */
    public long peakKb() {
        return peakKb;
    }

    /**
     * Returns how many cores the process used on average from readiness to the last signal, since
     * its last start.
     */
    public double averageCores() {
        return cores;
    }

    private long cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    private static long peakMemoryKb(long pid) {
        try {
            return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                    .filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the first lines of level SEVERE that the gatherer wrote, over all its starts. */
    public List<String> severeLines() {
        return log.severeLines();
    }

    /** Returns whether the gatherer wrote more than the log keeps. */
    public boolean truncated() {
        return log.truncated();
    }
}
