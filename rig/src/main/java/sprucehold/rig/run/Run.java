package sprucehold.rig.run;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import sprucehold.rig.fault.FaultSchedule;
import sprucehold.rig.link.ShapedConnections;
import sprucehold.rig.list.AgentHost;
import sprucehold.rig.list.ServerList;
import sprucehold.rig.load.Clients;
import sprucehold.rig.load.SiteBalancer;
import sprucehold.rig.plan.Addresses;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.plan.Planner;
import sprucehold.rig.process.ClusterFile;
import sprucehold.rig.process.GathererProcess;
import sprucehold.rig.process.GathererProgram;
import sprucehold.rig.process.Guardian;
import sprucehold.rig.process.NodeConfigFile;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.rig.server.ServerHost;
import sprucehold.rig.verdict.Figures;
import sprucehold.rig.verdict.Outcome;
import sprucehold.rig.verdict.Verdict;
import sprucehold.standin.ledger.Ledger;
import sprucehold.standin.ledger.Seen;

/**
 * Plays one run of a script. The script limits its duration. All processes of the run are ended
 * with it, even if the run fails.
 */
public final class Run implements AutoCloseable {
    /**
     * Time that is added to the longest query timeout to get the time by which all clients are
     * done, in milliseconds.
     */
    private static final double AFTER_TIMEOUT_MS = 1500;

    private static final long MAX_END_MS = 12_000;

    /**
     * Maximum time for starting, for waiting for the last answers and for ending together, in
     * milliseconds. If they take longer, the rig itself has a fault.
     */
    private static final long MAX_OVERHEAD_MS = 180_000;

    private static final long LATENESS_PERIOD_MS = 10;

    private final Script script;
    private final Plan plan;
    private final GathererProgram program;
    private final RunFolder folder;
    private final Consumer<String> progress;
    private final Vertx vertx =
            Vertx.vertx(
                    new VertxOptions()
                            .setEventLoopPoolSize(1)
                            .setWorkerPoolSize(8)
                            .setInternalBlockingPoolSize(2));
    private final double startedAtMs = System.currentTimeMillis();
    private final long startedNanos = System.nanoTime();
    private final Ledger ledger = new Ledger();
    private final Addresses addresses;
    private final Guardian guardian;
    private final ShapedConnections shapedConnections;
    private final ServerList serverList;
    private final ShardServerFleet servers;
    private final Map<String, AgentHost> agents = new LinkedHashMap<>();
    private final Map<String, GathererProcess> gatherers = new LinkedHashMap<>();

    /**
     * Processes that the twin fault started, by file name. Each runs under the name of a gatherer
     * that has its own process.
     */
    private final Map<String, GathererProcess> twins = new LinkedHashMap<>();

    private final PeerRelays relays;
    private final Map<String, Integer> openAttempts = new HashMap<>();
    private final SiteBalancer front;
    private final Clients clients;
    private final FaultSchedule faultSchedule;
    private final List<RunFolder.Span> spans = new ArrayList<>();
    private final Map<Plan.TargetedFault, Double> startedAtS = new HashMap<>();
    private final Map<String, Double> pausedSince = new HashMap<>();

    /** Gatherers that the rig has terminated or killed. Their end isn't recorded as a crash. */
    private final Map<String, Boolean> endedByRig = new HashMap<>();

    private final Set<String> killed = new HashSet<>();
    private final List<String> crashed = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final Histogram loopLate = new Histogram(3);
    private double firstMs;
    private int nextQuery;
    private double lateCheckedAt = Double.NaN;
    private double cpuAtFirstQueryMs;
    private boolean ending;
    private double overMs;

    private Run(
            Script script,
            long seed,
            GathererProgram program,
            RunFolder folder,
            Consumer<String> progress)
            throws IOException {
        this.script = script;
        this.plan = Planner.plan(script, seed);
        this.program = program;
        this.folder = folder;
        this.progress = progress;
        this.addresses = Addresses.claim();
        this.guardian = new Guardian();
        this.shapedConnections = new ShapedConnections(vertx, this::now, seed);
        this.serverList =
                new ServerList(
                        plan.servers().stream()
                                .map(
                                        server ->
                                                new ServerList.Entry(
                                                        server.name(),
                                                        server.site(),
                                                        server.cell(),
                                                        ServerList.Status.ACTIVE,
                                                        0,
                                                        0))
                                .toList());
        this.servers =
                new ShardServerFleet(
                        vertx,
                        this::now,
                        serverList,
                        plan.servers().stream().map(Plan.Server::name).toList());
        this.relays =
                new PeerRelays(
                        vertx,
                        shapedConnections,
                        addresses,
                        plan.gatherers().stream().map(Plan.Gatherer::name).toList());
        var siteOf = new HashMap<String, String>();
        plan.gatherers().forEach(gatherer -> siteOf.put(gatherer.name(), gatherer.site()));
        this.front = new SiteBalancer(siteOf, script.frontLearnsMs());
        this.clients =
                new Clients(
                        vertx,
                        shapedConnections,
                        this::now,
                        ledger,
                        script,
                        front,
                        name ->
                                SocketAddress.inetSocketAddress(
                                        addresses.gathererPort(),
                                        addresses.gathererHost(number(name))),
                        killed::contains,
                        this::ended);
        this.faultSchedule = new FaultSchedule(plan.faults());
    }

    /**
     * Runs a script to its end and judges the run.
     *
     * @param progress receives a progress line from time to time
     * @throws IOException with a one-line message if something could not be started
     */
    public static Verdict play(
            Script script,
            long seed,
            GathererProgram program,
            RunFolder folder,
            Consumer<String> progress)
            throws IOException {
        Optional<String> lacking = MachineNeeds.of(script).lackingOn(MachineNeeds.Machine.here());
        if (lacking.isPresent()) {
            throw new IOException(lacking.get());
        }
        try (var run = new Run(script, seed, program, folder, progress)) {
            folder.writePlan(script, run.plan);
            return run.play();
        }
    }

    private Verdict play() throws IOException {
        var done = new CompletableFuture<Void>();
        vertx.runOnContext(
                none ->
                        start().compose(ready -> load())
                                .compose(loaded -> end())
                                .onComplete(
                                        all -> done.complete(null), done::completeExceptionally));
        try {
            done.get((long) (1000 * script.lengthS()) + MAX_OVERHEAD_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IOException(
                    "the run did not end within "
                            + MAX_OVERHEAD_MS / 1000
                            + " s after the end of its script",
                    e);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io
                    ? io
                    : new IOException(String.valueOf(e.getCause()), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        double cores = (cpuMs() - cpuAtFirstQueryMs) / Math.max(1, now() - firstMs);
        gatherers.putAll(twins);
        double memory =
                gatherers.values().stream().mapToLong(GathererProcess::peakKb).max().orElse(0)
                        / 1024.0;
        gatherers.forEach(
                (name, process) -> {
                    if (process.truncated()) {
                        crashed.add(name + " flooded its log");
                    }
                    // A panic is never an expected effect of a fault. The decision and network code
                    // must survive any fault between processes.
                    process.severeLines().forEach(line -> crashed.add(name + " logged: " + line));
                });
        outcomes.sort(Comparator.comparingDouble(Outcome::plannedMs));
        return folder.write(
                new RunFolder.Kept(
                        plan.seed(),
                        overMs,
                        List.copyOf(spans),
                        List.copyOf(outcomes),
                        new Figures.Self(
                                loopLate.getValueAtPercentile(99) / 1000.0,
                                loopLate.getMaxValue() / 1000.0,
                                cores,
                                memory,
                                gatherers.values().stream()
                                        .mapToDouble(GathererProcess::averageCores)
                                        .max()
                                        .orElse(0),
                                servers.peakColdLoad()),
                        List.copyOf(crashed)),
                ledger.sortedByTime());
    }

    private static double cpuMs() {
        return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
    }

    /**
     * Returns the Unix time in milliseconds, which never goes back. It is the only clock of the
     * run.
     */
    private double now() {
        return startedAtMs + (System.nanoTime() - startedNanos) / 1e6;
    }

    private double atS() {
        return (now() - firstMs) / 1000;
    }

    private int number(String gatherer) {
        for (int i = 0; i < plan.gatherers().size(); i++) {
            if (plan.gatherers().get(i).name().equals(gatherer)) {
                return i;
            }
        }
        throw new IllegalArgumentException("no gatherer is named " + gatherer);
    }

    // ---- Start ----

    private Future<Void> start() {
        var all = new ArrayList<Future<?>>();
        for (int i = 0; i < plan.servers().size(); i++) {
            String name = plan.servers().get(i).name();
            all.add(
                    servers.listen(
                            new ServerHost(
                                    vertx,
                                    shapedConnections,
                                    this::now,
                                    ledger,
                                    addresses,
                                    script,
                                    plan,
                                    i,
                                    this::changeOpenAttempts,
                                    () -> servers.fellOver(name))));
        }
        for (int i = 0; i < plan.gatherers().size(); i++) {
            Plan.Gatherer gatherer = plan.gatherers().get(i);
            int number = i;
            var agent =
                    new AgentHost(
                            vertx,
                            this::now,
                            ledger,
                            serverList,
                            gatherer.name(),
                            entry ->
                                    addresses.serversHost(number)
                                            + ":"
                                            + addresses.serverPort(
                                                    servers.number(entry.name()), entry.life()));
            agents.put(gatherer.name(), agent);
            all.add(agent.listen(addresses.discoveryHost(i), addresses.discoveryPort()));
            gatherers.put(
                    gatherer.name(),
                    new GathererProcess(
                            vertx,
                            program,
                            guardian,
                            gatherer.name(),
                            SocketAddress.inetSocketAddress(
                                    addresses.gathererPort(), addresses.gathererHost(i)),
                            folder.file(gatherer.name() + ".log")));
            if (script.together() != null) {
                all.add(relays.listen(i));
            }
        }
        return Future.all(all)
                .compose(
                        listening -> {
                            progress.accept(
                                    "starting "
                                            + gatherers.size()
                                            + " gatherers among "
                                            + servers.size()
                                            + " shard servers");
                            return Future.all(
                                            plan.gatherers().stream()
                                                    .map(one -> start(one.name(), one.clocks()))
                                                    .toList())
                                    .mapEmpty();
                        });
    }

    private Future<Void> start(String name, Plan.Clocks clocks) {
        int number = number(name);
        endedByRig.remove(name);
        GathererProcess process = gatherers.get(name);
        return start(process, name, addresses.gathererHost(number), number, clocks)
                .onSuccess(
                        ready -> {
                            front.ready(name);
                            killed.remove(name);
                            process.ended().onSuccess(code -> gathererEnded(name, code));
                        });
    }

    /**
     * Writes the configuration files of a process and starts it.
     *
     * @param file name of the configuration files, without their extension
     * @param at address at which the process listens
     * @param number index of the gatherer under whose name the process runs
     */
    private Future<Void> start(
            GathererProcess process, String file, String at, int number, Plan.Clocks clocks) {
        Plan.Gatherer gatherer = plan.gatherers().get(number);
        try {
            Files.writeString(
                    folder.file(file + ".json"),
                    NodeConfigFile.json(
                            script,
                            gatherer,
                            at + ":" + addresses.gathererPort(),
                            addresses.discoveryHost(number) + ":" + addresses.discoveryPort(),
                            agents.get(gatherer.name()).lastSent()));
            if (script.together() != null) {
                Files.writeString(
                        folder.file(file + ".together.json"),
                        ClusterFile.json(script, plan, addresses, number, at));
            }
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
        return process.start(
                folder.file(file + ".json"),
                script.together() == null ? null : folder.file(file + ".together.json"),
                clocks);
    }

    private void twin(String name, boolean begins) {
        String twin = name + "-twin";
        if (!begins) {
            twins.get(twin).end(MAX_END_MS);
            return;
        } else if (twins.containsKey(twin) && twins.get(twin).alive()) {
            // A second process is already running.
            return;
        }
        int number = number(name);
        var process =
                new GathererProcess(
                        vertx,
                        program,
                        guardian,
                        twin,
                        SocketAddress.inetSocketAddress(
                                addresses.gathererPort(), addresses.twinHost(number)),
                        folder.file(twin + ".log"));
        twins.put(twin, process);
        start(process, twin, addresses.twinHost(number), number, Plan.Clocks.EXACT)
                .onFailure(
                        failure -> {
                            if (!ending) {
                                crashed.add(failure.getMessage());
                            }
                        });
    }

    private void gathererEnded(String name, int code) {
        front.gone(now(), name);
        if (!endedByRig.getOrDefault(name, false)) {
            crashed.add(
                    name
                            + " ended by itself with exit code "
                            + code
                            + " at "
                            + String.format(Locale.ROOT, "%.1f s", atS()));
        }
    }

    // ---- Load ----

    private Future<Void> load() {
        firstMs = now() + 100;
        cpuAtFirstQueryMs = cpuMs();
        progress.accept(
                plan.asks().size()
                        + " scans in "
                        + script.lengthS()
                        + " s, "
                        + plan.faults().size()
                        + " faults");
        Promise<Void> loadEnded = Promise.promise();
        double longest =
                script.tableTypes().stream().mapToDouble(Script.Kind::timeoutMs).max().orElse(0);
        long timer = vertx.setPeriodic(LATENESS_PERIOD_MS, id -> recordLateness());
        vertx.setPeriodic(
                1000,
                id -> {
                    if (loadEnded.future().isComplete()) {
                        vertx.cancelTimer(id);
                    } else {
                        progress.accept(progressLine());
                    }
                });
        vertx.setPeriodic(
                1,
                id -> {
                    sendDueQueries();
                    applyDueFaults();
                    boolean past =
                            atS() * 1000 > script.lengthS() * 1000 + longest + AFTER_TIMEOUT_MS;
                    if (past
                            || nextQuery == plan.asks().size()
                                    && clients.open() == 0
                                    && atS() >= script.lengthS()) {
                        vertx.cancelTimer(id);
                        vertx.cancelTimer(timer);
                        loadEnded.tryComplete();
                    }
                });
        return loadEnded.future();
    }

    private void recordLateness() {
        double now = now();
        if (!Double.isNaN(lateCheckedAt)) {
            loopLate.recordValue(
                    Math.max(0, Math.round(1000 * (now - lateCheckedAt - LATENESS_PERIOD_MS))));
        }
        lateCheckedAt = now;
    }

    private String progressLine() {
        long done = outcomes.stream().filter(Outcome::inTime).count();
        return String.format(
                Locale.ROOT,
                "%5.1f s  %d asked, %d ended, %d in time, %d connections",
                atS(),
                nextQuery,
                outcomes.size(),
                done,
                shapedConnections.count());
    }

    private void sendDueQueries() {
        while (nextQuery < plan.asks().size()
                && firstMs + plan.asks().get(nextQuery).atMs() <= now()) {
            Plan.PlannedQuery query = plan.asks().get(nextQuery++);
            clients.sendQuery(query, firstMs + query.atMs());
        }
    }

    private void ended(Plan.PlannedQuery query, double atMs, Clients.End end, double sentLateMs) {
        outcomes.add(Outcomes.of(script, query, firstMs, atMs, end, sentLateMs));
    }

    private void changeOpenAttempts(String gatherer, int more) {
        int now = openAttempts.merge(gatherer, more, Integer::sum);
        if (more > 0 && faultSchedule.needsOpenAttempts() && firstMs > 0) {
            faultSchedule.recordOpenAttempts(atS(), gatherer, now);
        }
    }

    // ---- Faults ----

    private void applyDueFaults() {
        if (faultSchedule.nextS() <= atS()) {
            faultSchedule.poll(atS()).forEach(this::apply);
        }
    }

    private void apply(FaultSchedule.Change change) {
        Plan.TargetedFault fault = change.fault();
        progress.accept(
                String.format(
                        Locale.ROOT,
                        "%5.1f s  %s %s: %s",
                        atS(),
                        fault.fault().name(),
                        change.begins() ? "begins" : "ends",
                        String.join(" ", fault.of())));
        if (change.begins()) {
            startedAtS.put(fault, atS());
        } else {
            faultEnded(fault);
        }
        switch (fault.fault().kind().whom()) {
            case GATHERER -> fault.of().forEach(name -> gatherer(name, change));
            case LINK -> {
                shapedConnections.change(change);
                servers.linksChanged();
            }
            case SERVER -> fault.of().forEach(name -> servers.change(name, change));
            case DISCOVERY ->
                    fault.of().forEach(name -> agents.get(name).change(change.begins(), fault));
            default -> throw new IllegalStateException("no party applies the fault " + fault);
        }
    }

    private void faultEnded(Plan.TargetedFault fault) {
        Double from = startedAtS.remove(fault);
        if (from != null) {
            spans.add(
                    new RunFolder.Span(
                            fault.fault().name(), fault.fault().kind(), fault.of(), from, atS()));
        }
    }

    private void gatherer(String name, FaultSchedule.Change change) {
        GathererProcess process = gatherers.get(name);
        Fault fault = change.fault().fault();
        boolean restarts = fault.forS() < Double.POSITIVE_INFINITY;
        switch (fault.kind()) {
            case KILL -> {
                if (change.begins()) {
                    kill(name);
                } else {
                    startAgain(name, Plan.Clocks.EXACT);
                }
            }
            case TERM -> {
                if (change.begins() && process.alive()) {
                    endedByRig.put(name, true);
                    front.gone(now(), name);
                    process.signal("TERM");
                    if (restarts) {
                        process.ended()
                                .onComplete(
                                        code ->
                                                vertx.setTimer(
                                                        Math.max(1, (long) (1000 * fault.forS())),
                                                        waited ->
                                                                startAgain(
                                                                        name, Plan.Clocks.EXACT)));
                    }
                }
            }
            case PAUSE -> {
                if (change.begins()) {
                    pausedSince.putIfAbsent(name, now());
                    process.signal("STOP");
                } else {
                    process.signal("CONT").onComplete(awake -> continued(name));
                }
            }
            case CLOCK_OFF, CLOCK_DRIFT, CLOCK_JUMP -> {
                // A gatherer whose clock is wrong from the beginning was started that way.
                if (change.begins() && atS() > 0.05) {
                    kill(name).onComplete(gone -> startAgain(name, Plan.Clocks.EXACT.and(fault)));
                } else if (!change.begins()) {
                    kill(name).onComplete(gone -> startAgain(name, Plan.Clocks.EXACT));
                }
            }
            case TWIN -> twin(name, change.begins());
            case FLOOD -> relays.flood(number(name), change);
            default ->
                    throw new IllegalStateException(fault.kind() + " is not a fault of gatherers");
        }
    }

    private Future<Integer> kill(String name) {
        GathererProcess process = gatherers.get(name);
        endedByRig.put(name, true);
        killed.add(name);
        double since = now();
        return process.signal("KILL")
                .compose(sent -> process.ended())
                .onComplete(
                        gone -> {
                            front.gone(now(), name);
                            openAttempts.put(name, 0);
                            ledger.add(new Seen.HeldUp(since, now(), name, true));
                        });
    }

    private void continued(String name) {
        Double since = pausedSince.remove(name);
        if (since != null) {
            ledger.add(new Seen.HeldUp(since, now(), name, false));
        }
    }

    private void startAgain(String name, Plan.Clocks clocks) {
        if (!ending && !gatherers.get(name).alive()) {
            start(name, clocks)
                    .onFailure(
                            failure -> {
                                // A gatherer that was terminated or killed while it started has not
                                // crashed.
                                if (!endedByRig.getOrDefault(name, false)) {
                                    crashed.add(failure.getMessage());
                                }
                            });
        }
    }

    // ---- End ----

    private Future<Void> end() {
        ending = true;
        overMs = now();
        progress.accept(progressLine());
        faultSchedule
                .active()
                .forEach(
                        fault -> {
                            if (fault.fault().kind().whom() == Fault.Whom.LINK) {
                                shapedConnections.change(
                                        new FaultSchedule.Change(atS(), false, fault));
                            }
                            faultEnded(fault);
                        });
        List.copyOf(pausedSince.keySet()).forEach(this::continued);
        relays.endFloods();
        gatherers.keySet().forEach(name -> endedByRig.put(name, true));
        var all = new LinkedHashMap<>(gatherers);
        all.putAll(twins);
        return Future.all(
                        all.entrySet().stream()
                                .map(
                                        one ->
                                                one.getValue()
                                                        .end(MAX_END_MS)
                                                        .onSuccess(
                                                                endedItself -> {
                                                                    if (!endedItself) {
                                                                        crashed.add(
                                                                                one.getKey()
                                                                                        + " did not end within "
                                                                                        + MAX_END_MS
                                                                                                / 1000
                                                                                        + " s of SIGTERM and was killed");
                                                                    }
                                                                }))
                                .toList())
                .mapEmpty();
    }

    @Override
    public void close() throws IOException {
        guardian.close();
        try {
            var closed = new CompletableFuture<Void>();
            vertx.runOnContext(
                    none -> {
                        try {
                            clients.close();
                            var all = new ArrayList<Future<?>>();
                            all.addAll(servers.close());
                            agents.values().forEach(agent -> all.add(agent.close()));
                            all.addAll(relays.close());
                            Future.join(all).onComplete(done -> closed.complete(null));
                        } catch (RuntimeException e) {
                            closed.completeExceptionally(e);
                        }
                    });
            // Only the rig's own sockets are closed here. If one isn't closed in time, that is a
            // fault of the rig, and the run doesn't wait for it.
            closed.get(MAX_END_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("the rig's own sockets could not be closed: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            vertx.close();
            addresses.close();
        }
    }
}
