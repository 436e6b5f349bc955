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
 * One gatherer: the program in a process of its own, which may be started, signalled and ended
 * again and again.
 */
public final class GathererProcess {
    /**
     * A gatherer under its command is ready in a few seconds; many that start at once share the
     * cores.
     */
    private static final long START_MS = 60_000;

    private static final long LOOK_MS = 25;

    private final Vertx vertx;
    private final Context context;
    private final Home home;
    private final Guardian guardian;
    private final String name;
    private final SocketAddress at;
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
     * @param at where it listens
     * @param logFile what it writes, over all its lives
     */
    public GathererProcess(
            Vertx vertx,
            Home home,
            Guardian guardian,
            String name,
            SocketAddress at,
            Path logFile) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.home = home;
        this.guardian = guardian;
        this.name = name;
        this.at = at;
        this.log = new BoundedLog(logFile);
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000));
    }

    /**
     * Starts it.
     *
     * @param together what it is told of others, or null where it doesn't talk
     * @return succeeds once it says that it is ready; fails in one line if it ends or takes too
     *     long
     */
    public Future<Void> start(Path config, Path together, Plan.Clocks clocks) {
        return start(home.serve(clocks, config, together));
    }

    Future<Void> start(List<String> with) {
        command = with;
        Promise<Integer> over = Promise.promise();
        ended = over.future();
        return vertx.executeBlocking(
                        () -> {
                            // It begins only when the guardian knows of it, so that no moment is
                            // left at which it could be forgotten.
                            var all =
                                    new ArrayList<>(
                                            List.of(
                                                    "/bin/sh",
                                                    "-c",
                                                    "read -r go || exit 1; exec \"$0\" \"$@\" </dev/null"));
                            all.addAll(command);
                            Process started =
                                    new ProcessBuilder(all)
                                            .directory(home.root().toFile())
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
                                                        none -> over.tryComplete(gone.exitValue()));
                                            });
                            return started;
                        })
                .compose(
                        started -> {
                            process = started;
                            return ready(System.nanoTime() + START_MS * 1_000_000);
                        });
    }

    private Future<Void> ready(long until) {
        if (ended.isComplete()) {
            return Future.failedFuture(
                    new IOException(
                            name
                                    + " ended with exit code "
                                    + ended.result()
                                    + " before it was ready: "
                                    + log.last()));
        }
        if (System.nanoTime() > until) {
            return Future.failedFuture(
                    new IOException(
                            name
                                    + " was not ready within "
                                    + START_MS / 1000
                                    + " s: "
                                    + log.last()));
        }
        Promise<Boolean> up = Promise.promise();
        client.connect(at)
                .onComplete(
                        socket -> {
                            socket.handler(
                                    bytes -> {
                                        up.tryComplete(bytes.toString().startsWith("HTTP/1.1 200"));
                                        socket.close();
                                    });
                            socket.closeHandler(none -> up.tryComplete(false));
                            socket.exceptionHandler(failure -> {});
                            socket.write(
                                    "GET /up HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
                        },
                        refused -> up.tryComplete(false));
        return up.future()
                .onSuccess(
                        is -> {
                            if (is) {
                                readyNanos = System.nanoTime();
                                readyCpuMs = cpuMs();
                            }
                        })
                .compose(
                        is ->
                                is
                                        ? Future.succeededFuture()
                                        : vertx.timer(LOOK_MS).compose(waited -> ready(until)));
    }

    public boolean alive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal by its name, such as {@code KILL}, to this process alone. */
    public Future<Void> signal(String signal) {
        if (!alive()) {
            return Future.succeededFuture();
        }
        long pid = process.pid();
        peakKb = Math.max(peakKb, peak(pid));
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

    /** Succeeds with its exit code once it has ended. */
    public Future<Integer> ended() {
        return ended;
    }

    /**
     * Asks it to end, and kills it if it has not by then. Succeeds with whether it ended by itself.
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
                .compose(asked -> gone.future())
                .compose(itself -> ended.map(itself));
    }

    /** The most memory that it held, in kilobytes, as far as it was looked at: at each signal. */
    public long peakKb() {
        return peakKb;
    }

    /** How many cores it used from when it was ready to the last signal, in its last life. */
    public double cores() {
        return cores;
    }

    private long cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    private static long peak(long pid) {
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

    /** The first lines of level SEVERE that it wrote, over all its lives. */
    public List<String> severe() {
        return log.severe();
    }

    /** Whether it wrote more than is kept. */
    public boolean flooded() {
        return log.flooded();
    }
}
