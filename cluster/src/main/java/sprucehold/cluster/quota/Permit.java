package sprucehold.cluster.quota;

/**
 * Permission to send an attempt or a query whose units were counted as used. It guards against a
 * process that is paused between the decision and the send, and then continues without noticing the
 * pause.
 *
 * @param notAfterMs upper bound of elapsed time until which sending is allowed; a send that is
 *     later is dropped
 */
public record Permit(double notAfterMs) {
    /**
     * Whether sending is allowed now; must be checked immediately before the send, with the clock
     * just read.
     */
    public boolean isValid(MonotonicLeaseClock clock) {
        return clock.atMostMs() < notAfterMs;
    }
}
