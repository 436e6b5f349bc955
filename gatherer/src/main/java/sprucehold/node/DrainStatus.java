package sprucehold.node;

/** Drain status of a gatherer, advanced by {@link GracefulShutdown}. */
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

    /** Enters the phase that follows from the time and the outstanding work, and returns it. */
    DrainStateMachine.Phase advance(double nowMs, DrainStateMachine.Outstanding outstanding) {
        phase = drain.phase(nowMs, outstanding);
        return phase;
    }

    /** Returns the delay until the next call of {@link #advance}, in milliseconds; at least 1. */
    long nextCheckMs(double nowMs) {
        return drain.nextCheckMs(nowMs);
    }

    boolean rejectsQueries() {
        return phase == DrainStateMachine.Phase.REJECTING
                || phase == DrainStateMachine.Phase.COMPLETE;
    }

    /**
     * Returns the maximum time left for a query that is received now, in milliseconds; infinite
     * before the drain has started.
     */
    double timeLeftMs(double nowMs) {
        return drain == null ? Double.POSITIVE_INFINITY : drain.timeLeftMs(nowMs);
    }
}
