package sprucehold.cluster.quota;

/**
 * Leave to send what was counted as used.
 *
 * @param notAfterMs by the fast clock: what isn't sent by then is dropped. Guards against a process
 *     that is paused between decision and send and goes on as if nothing had been
 */
public record Permit(double notAfterMs) {
    /** Whether it may be sent now; to be asked right before the send, with the clock just read. */
    public boolean holds(MonotonicLeaseClock clock) {
        return clock.fastMs() < notAfterMs;
    }
}
