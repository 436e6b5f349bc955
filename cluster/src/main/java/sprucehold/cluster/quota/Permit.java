package sprucehold.cluster.quota;

/**
 * Permission to send what was counted as used.
 *
 * @param notAfterMs the greatest possible time up to which it may be sent: what isn't sent by then
 *     is dropped. Guards against a process that is paused between decision and send and goes on as
 *     if nothing had been
 */
public record Permit(double notAfterMs) {
    /** Whether it may be sent now; to be asked right before, with the clock just read. */
    public boolean isValid(MonotonicLeaseClock clock) {
        return clock.atMostMs() < notAfterMs;
    }
}
