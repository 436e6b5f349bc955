package sprucehold.node;

/** Whether and how far a gatherer drains; {@link GracefulShutdown} drives it. */
final class DrainStatus {
    private DrainStateMachine drain;
    private DrainStateMachine.Phase phase;

    /** Begins the drain. */
    void start(DrainSchedule schedule, double nowMs) {
        drain = new DrainStateMachine(schedule, nowMs);
        phase = DrainStateMachine.Phase.SERVING;
    }

    boolean started() {
        return drain != null;
    }

    /** Enters the phase that the time and what is owed to clients ask for, and returns it. */
    DrainStateMachine.Phase advance(double nowMs, DrainStateMachine.Outstanding outstanding) {
        phase = drain.phase(nowMs, outstanding);
        return phase;
    }

    /** When to call {@link #advance} again, in milliseconds from now; at least 1. */
    long nextCheckMs(double nowMs) {
        return drain.nextCheckMs(nowMs);
    }

    boolean rejectsQueries() {
        return phase == DrainStateMachine.Phase.REJECTING
                || phase == DrainStateMachine.Phase.COMPLETE;
    }

    /** The most time that a query received now may get, in milliseconds; infinite while serving. */
    double timeLeftMs(double nowMs) {
        return drain == null ? Double.POSITIVE_INFINITY : drain.timeLeftMs(nowMs);
    }
}
