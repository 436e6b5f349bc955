package sprucehold.cluster.membership;

import java.util.List;
import java.util.Set;

/**
 * A way to find out which members are there. Time is in milliseconds by the owner's clock, and
 * never goes back.
 */
public interface FailureDetector {
    /** A message to another member. */
    record Outgoing(String to, MemberMessage message) {}

    /** Lets time pass; to be called every {@link #tickMs}. */
    List<Outgoing> tick(double nowMs);

    /** Time between two ticks, in milliseconds. */
    double tickMs();

    /** Takes a message, and returns the answers to it. */
    List<Outgoing> receive(double nowMs, String from, MemberMessage message);

    /** The other members that are held to be there. */
    Set<String> alive();
}
