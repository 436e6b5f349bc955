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
 * Calls the decisions in turns of bounded length on the event loop, and has their commands carried
 * out.
 *
 * <p>A turn is taken once the pass over the sockets in which something happened is through, and a
 * whole further one. What one socket brings mustn't be decided upon while what came with it lies
 * unread on others, or behind it: answers would look late, and the end of a stream is only read in
 * the pass after the bytes before it.
 */
final class DecisionLoop {
    private static final Logger LOG = Logger.getLogger(DecisionLoop.class.getName());

    private final Clock clock;
    private final Context context;
    private final EventLoopMonitor monitor;
    private final QueryCoordinator coordinator;
    private final NodeExtensions extensions;
    private final DecisionTimer timer;

    /** What was observed since the coordinator was last called. */
    private final List<Observation> observations = new ArrayList<>();

    /** Calls of the coordinator wait here until all that came in at one moment is read. */
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

    /** Sets who carries out commands; to be called once, before anything is observed. */
    void executeWith(CommandExecutor commandExecutor) {
        this.executor = commandExecutor;
    }

    /** Hands an observation to the decisions in the next turn. */
    void observe(Observation observation) {
        observations.add(observation);
        requestTurnUnlessInTurn();
    }

    /** Has the coordinator called in a turn to come, after the calls that wait already. */
    void call(Supplier<Commands> call) {
        calls.add(call);
        requestTurnUnlessInTurn();
    }

    /** Has a turn taken soon, even if nothing was observed. */
    void requestTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            context.runOnContext(none -> monitor.afterNextPass(this::takeScheduledTurn));
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

    private void takeScheduledTurn() {
        turnScheduled = false;
        inTurn = true;
        nextTickAtMs = timer.scheduledAtMs();
        try {
            turn();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: commands could not be carried out", e);
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
     * The decisions hear what happened before anything new is begun, so that nothing is sent on for
     * a client that has left.
     */
    private void turn() {
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

    /** After a failure: what the decisions wait for may never be observed. */
    private void decideAgainNow() {
        nextTickAtMs = clock.now();
    }
}
