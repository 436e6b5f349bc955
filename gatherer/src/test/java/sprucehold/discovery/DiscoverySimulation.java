package sprucehold.discovery;

import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Simulation, on a virtual clock, of discovery or its agent, of the connections to it and of the
 * state machine of one gatherer. Discovery behaves as its protocol and the fault-injection test bed
 * define; calls use connections as {@link DiscoveryConnections} does.
 */
final class DiscoverySimulation {
    /** Network delay of a request or a response, in milliseconds. */
    private static final double TRANSIT_MS = 1;

    /**
     * Delay of the decision policy's next poll after a failure, in milliseconds. A failure while a
     * poll is scheduled may bring it forward, but leads to no second one.
     */
    interface PollDelay {
        /**
         * Returns the delay.
         *
         * @param failuresInARow failures before this one since the last response
         */
        double afterFailure(int failuresInARow);
    }

    private record ScheduledAction(double atMs, long order, Runnable action) {}

    private final PriorityQueue<ScheduledAction> scheduled =
            new PriorityQueue<>(
                    Comparator.comparingDouble(ScheduledAction::atMs)
                            .thenComparingLong(ScheduledAction::order));
    private final EndpointWatchStateMachine stateMachine;
    private final PollDelay pollDelay;
    private int failuresInARow;
    private double pollAtMs = Double.POSITIVE_INFINITY;
    private long actionsScheduled;
    private double nowMs;
    private long version = 1;
    private boolean down;
    private long addressChanges;

    /** Calls that discovery has received and not answered, by number. */
    private final Map<Long, EndpointWatchStateMachine.Call> waitingCalls = new HashMap<>();

    /** Start of each open call, in milliseconds. */
    private final Map<Long, Double> startedAtMs = new HashMap<>();

    /** Connection of each open call. */
    private final Map<Long, Integer> connections = new HashMap<>();

    private final Set<Integer> silentConnections = new HashSet<>();

    /** Time from which discovery answers calls on each connection, in milliseconds. */
    private final Map<Integer, Double> answersFromMs = new HashMap<>();

    private int connectionsOpened;
    private Integer restingConnection;
    private double delayOnNewConnectionsMs;
    private Runnable afterNextAnswer;
    private int newConnectionsToSilence;

    /** Time at which the gatherer received each list version, in milliseconds. */
    final Map<Long, Double> receivedAtMs = new HashMap<>();

    int callsMade;

    /** Most calls that were open at once. */
    int mostCallsOpen;

    DiscoverySimulation(boolean pushed) {
        // The decision policy polls again within three seconds.
        this(pushed, failures -> 3000);
    }

    DiscoverySimulation(boolean pushed, PollDelay pollDelay) {
        this.stateMachine = new EndpointWatchStateMachine(pushed, 10_000);
        this.pollDelay = pollDelay;
    }

    void at(double timeMs, Runnable action) {
        scheduled.add(new ScheduledAction(timeMs, actionsScheduled++, action));
    }

    double nowMs() {
        return nowMs;
    }

    private void carryOut(List<EndpointWatchStateMachine.Step> steps) {
        for (EndpointWatchStateMachine.Step step : steps) {
            if (step instanceof EndpointWatchStateMachine.Step.MakeCall makeCall) {
                makeCall(makeCall.call());
            } else if (step instanceof EndpointWatchStateMachine.Step.DropCall drop) {
                forget(drop.number());
            } else if (step instanceof EndpointWatchStateMachine.Step.Report report) {
                failuresInARow = 0;
                for (long v = 1; v <= report.list().index(); v++) {
                    receivedAtMs.putIfAbsent(v, nowMs);
                }
            } else if (step instanceof EndpointWatchStateMachine.Step.ReportUnavailable) {
                schedulePoll();
            }
        }
        double timerAtMs = stateMachine.timerAtMs();
        if (timerAtMs < Double.POSITIVE_INFINITY) {
            at(Math.max(nowMs, timerAtMs), () -> carryOut(stateMachine.timerFired(nowMs)));
        }
    }

    private void schedulePoll() {
        double atMs = nowMs + pollDelay.afterFailure(failuresInARow++);
        if (atMs < pollAtMs) {
            pollAtMs = atMs;
            at(atMs, () -> pollIfDue(atMs));
        }
    }

    private void pollIfDue(double atMs) {
        if (atMs == pollAtMs) {
            pollAtMs = Double.POSITIVE_INFINITY;
            carryOut(stateMachine.poll(nowMs));
        }
    }

    private void makeCall(EndpointWatchStateMachine.Call call) {
        callsMade++;
        long addressVersion = addressChanges;
        startedAtMs.put(call.number(), nowMs);
        mostCallsOpen = Math.max(mostCallsOpen, startedAtMs.size());
        connections.put(call.number(), connectionFor(call));
        at(nowMs + TRANSIT_MS, () -> arrive(call, addressVersion));
        at(nowMs + call.timeoutMs(), () -> fail(call.number(), "no answer"));
    }

    private int connectionFor(EndpointWatchStateMachine.Call call) {
        Integer reused = call.newConnection() ? null : restingConnection;
        restingConnection = null;
        if (reused != null) {
            return reused;
        }
        int opened = ++connectionsOpened;
        answersFromMs.put(opened, nowMs + delayOnNewConnectionsMs);
        if (newConnectionsToSilence > 0) {
            newConnectionsToSilence--;
            silentConnections.add(opened);
        }
        return opened;
    }

    private void forget(long number) {
        waitingCalls.remove(number);
        startedAtMs.remove(number);
        connections.remove(number);
    }

    private void fail(long number, String reason) {
        if (startedAtMs.containsKey(number)) {
            forget(number);
            carryOut(stateMachine.failed(nowMs, number, reason));
        }
    }

    private void arrive(EndpointWatchStateMachine.Call call, long addressVersion) {
        if (addressVersion != addressChanges || !startedAtMs.containsKey(call.number())) {
            return;
        }
        waitingCalls.put(call.number(), call);
        at(nowMs + call.waitMs(), () -> answer(call.number(), true));
        answer(call.number(), false);
    }

    private void answer(long number, boolean waitOver) {
        EndpointWatchStateMachine.Call call = waitingCalls.get(number);
        if (call == null
                || down
                || silentConnections.contains(connections.get(number))
                || (!waitOver && call.after() >= version)) {
            return;
        }
        double possibleAtMs = answersFromMs.get(connections.get(number));
        if (nowMs < possibleAtMs) {
            at(possibleAtMs, () -> answer(number, waitOver));
            return;
        }
        waitingCalls.remove(number);
        var list = new EndpointList(version, call.after() < 0, List.of());
        at(nowMs + TRANSIT_MS, () -> receive(number, list));
        if (afterNextAnswer != null) {
            silenceOpenConnections();
            afterNextAnswer.run();
            afterNextAnswer = null;
        }
    }

    private void receive(long number, EndpointList list) {
        if (startedAtMs.containsKey(number)) {
            restingConnection = connections.get(number);
            forget(number);
            carryOut(stateMachine.answered(nowMs, number, list));
        }
    }

    private void answerAll() {
        List.copyOf(waitingCalls.keySet()).forEach(number -> answer(number, false));
    }

    void changeList() {
        version++;
        answerAll();
    }

    /** Lets the connections of the calls that discovery has received fall silent. */
    void silenceWaitingCalls() {
        waitingCalls.keySet().forEach(number -> silentConnections.add(connections.get(number)));
    }

    /** Lets all connections that are open fall silent. */
    void silenceOpenConnections() {
        silentConnections.addAll(connections.values());
        if (restingConnection != null) {
            silentConnections.add(restingConnection);
        }
    }

    /**
     * Lets all connections that are open fall silent right after discovery's next answer, and then
     * carries out the action.
     */
    void silenceOpenConnectionsAfterTheNextAnswer(Runnable action) {
        afterNextAnswer = action;
    }

    /** Lets connections fall silent as soon as they are opened, as many as given. */
    void silenceNewConnections(int count) {
        newConnectionsToSilence = count;
    }

    /** Lets discovery answer only after this time on connections that are opened from now on. */
    void delayAnswersOnNewConnections(double delayMs) {
        delayOnNewConnectionsMs = delayMs;
    }

    /**
     * Returns the latest end of the wait of a call that discovery has received and not answered, in
     * milliseconds; 0 if there is none.
     */
    double latestWaitEndMs() {
        return waitingCalls.values().stream()
                .mapToDouble(call -> call.startedAtMs() + TRANSIT_MS + call.waitMs())
                .max()
                .orElse(0);
    }

    void resetWaitingCalls() {
        List.copyOf(waitingCalls.keySet()).forEach(number -> fail(number, "reset"));
    }

    void setDown(boolean newDown) {
        down = newDown;
        if (!newDown) {
            answerAll();
        }
    }

    /** Ends the outage; calls that were made during it are lost and never answered. */
    void recoverWithoutWaitingCalls() {
        waitingCalls.clear();
        down = false;
    }

    void changeAddress() {
        addressChanges++;
        waitingCalls.clear();
        startedAtMs.clear();
        connections.clear();
        restingConnection = null;
        carryOut(stateMachine.addressChanged(nowMs));
    }

    void run(double untilMs) {
        at(0, () -> carryOut(stateMachine.poll(nowMs)));
        int steps = 0;
        while (!scheduled.isEmpty() && scheduled.peek().atMs <= untilMs) {
            assertTrue(
                    ++steps < 100_000, "the state machine schedules steps without end at " + nowMs);
            ScheduledAction next = scheduled.poll();
            nowMs = next.atMs;
            next.action.run();
        }
    }
}
