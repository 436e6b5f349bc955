package sprucehold.cluster.membership;

import java.util.List;
import java.util.Set;

/**
 * Detects which members are alive. Times are in milliseconds by the owner's clock and never
 * decrease.
 */
public interface FailureDetector {
    /** A message to another member. */
    record Outgoing(String to, MemberMessage message) {}

    /** Advances the time; must be called every {@link #tickMs} milliseconds. */
    List<Outgoing> tick(double nowMs);

    /** Time between two ticks, in milliseconds. */
    double tickMs();

    /** Handles a message and returns the answers to it. */
    List<Outgoing> receive(double nowMs, String from, MemberMessage message);

    /** Returns the other members that are considered alive. */
    Set<String> alive();
}
