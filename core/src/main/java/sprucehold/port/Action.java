package sprucehold.port;

/** Something a gatherer wants done. */
public sealed interface Action {
    /** Sends a part to a shard server; the dispatches of a part are numbered from 0 in this order. */
    record Dispatch(String partId, String server, double timeoutMs) implements Action {
    }

    /** Stops waiting for a dispatch. */
    record Cancel(String partId, int number) implements Action {
    }

    /** Answers a scan from the parts completed so far. */
    record Answer(String scanId, boolean whole) implements Action {
    }

    /** Turns a scan away; asking again is harmless, best after {@code comeBackMs} (0: no advice). */
    record Throttle(String scanId, double comeBackMs) implements Action {
    }

    /** Ends a scan with no promise about its effect. */
    record Abandon(String scanId) implements Action {
    }

    /** Asks for an {@link Event.Woken} after this time. */
    record Wake(double delayMs) implements Action {
    }

    /** Probes a shard server. */
    record Probe(String server) implements Action {
    }

    /** Asks to be told of changes to the list from now on, and of what was missed. */
    record FollowList() implements Action {
    }

    /** A line for the operators' log. */
    record Note(String line) implements Action {
    }
}
