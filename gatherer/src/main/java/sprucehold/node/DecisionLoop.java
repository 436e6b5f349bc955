package sprucehold.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import sprucehold.coordinator.Commands;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.QueryCoordinator;

/**
 * Calls the query coordinator in turns of bounded duration on the event loop, and passes its
 * commands to the executor.
 *
 * <p>A turn starts only after the pass over the sockets in which something was observed, and one
 * further whole pass, have ended. The data of one socket must not be acted upon while data that
 * arrived at the same time is still unread on other sockets or later on the same socket. Otherwise
 * answers would look late. The further pass is needed because the end of a stream is read one pass
 * after the bytes before it.
 */
final class DecisionLoop {
    private static final Logger LOG = Logger.getLogger(DecisionLoop.class.getName());

    private final Clock clock;
    private final Context context;
    private final EventLoopMonitor monitor;
    private final QueryCoordinator coordinator;
    private final NodeExtensions extensions;
    private final DecisionTimer timer;

    /** Observations since the last call of the coordinator. */
    private final List<Observation> observations = new ArrayList<>();

    /** Calls of the coordinator that wait until all data that arrived at the same time is read. */
    private final DecisionQueue calls = new DecisionQueue();

    private CommandExecutor executor;
    private boolean turnScheduled;
    private boolean inTurn;
    private boolean tickDue;
    private double nextTickAtMs = Double.POSITIVE_INFINITY;

    DecisionLoop(
            Vertx vertx,
            Clock clock,
            EventLoopMonitor monitor,
            QueryCoordinator coordinator,
            NodeExtensions extensions) {
        this.clock = clock;
        this.context = vertx.getOrCreateContext();
        this.monitor = monitor;
        this.coordinator = coordinator;
        this.extensions = extensions;
        this.timer = new DecisionTimer(vertx, clock::now, this::tick);
    }

    /** Sets the executor of commands; to be called once, before the first observation. */
    void setExecutor(CommandExecutor commandExecutor) {
        this.executor = commandExecutor;
    }

    /** Passes an observation to the coordinator, in the next turn at the latest. */
    void observe(Observation observation) {
        observations.add(observation);
        requestTurnUnlessInTurn();
    }

    /** Queues a call of the coordinator behind the pending calls. */
    void call(Supplier<Commands> call) {
        calls.add(call);
        requestTurnUnlessInTurn();
    }

    /** Schedules a turn, even if nothing was observed. */
    void requestTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            context.runOnContext(none -> monitor.afterNextPass(this::runScheduledTurn));
        }
    }

    private void requestTurnUnlessInTurn() {
        if (!inTurn) {
            requestTurn();
        }
    }

    private void tick() {
        tickDue = true;
        requestTurn();
    }

    private void runScheduledTurn() {
        turnScheduled = false;
        inTurn = true;
        nextTickAtMs = timer.scheduledAtMs();
        try {
            runTurn();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: a turn of the decision loop failed", e);
            decideAgainNow();
        } finally {
            inTurn = false;
        }
        if (!calls.isEmpty() || !observations.isEmpty()) {
            requestTurn();
        }
        timer.schedule(nextTickAtMs);
    }

    /**
     * Runs one turn. The coordinator receives all observations before any new work begins, so that
     * no attempt is sent for a client that has disconnected.
     */
    private void runTurn() {
        if (!executor.confirmAnswers()) {
            decideAgainNow();
        }
        decideOnObservations();
        if (!executor.writeWaiting()) {
            decideAgainNow();
        }
        if (tickDue) {
            tickDue = false;
            decide(() -> coordinator.tick(clock.now()));
        }
        calls.beginTurn(clock.now());
        for (Supplier<Commands> call = calls.next(clock.now());
                call != null;
                call = calls.next(clock.now())) {
            decide(call);
            decideOnObservations();
        }
    }

    private void decideOnObservations() {
        if (!observations.isEmpty()) {
            decide(
                    () -> {
                        List<Observation> batch = List.copyOf(observations);
                        observations.clear();
                        return coordinator.observe(clock.now(), batch);
                    });
        }
    }

    private void decide(Supplier<Commands> call) {
        extensions.updateClusterView(coordinator);
        Commands commands = call.get();
        nextTickAtMs = commands.nextTickAtMs();
        if (!executor.execute(commands)) {
            decideAgainNow();
        }
    }

    /**
     * Schedules a tick at once. It is called after a failure, when the observation that the
     * decision policy waits for may never occur.
     */
    private void decideAgainNow() {
        nextTickAtMs = clock.now();
    }
}
