package sprucehold.cluster.membership;

import java.util.List;
import java.util.Set;

/**
 * A way to find out who is there. Time is in milliseconds by the owner's clock, and never goes
 * back.
 */
public interface FailureDetector {
    /** A message to another. */
    record Out(String to, MemberMessage message) {}

    /** Lets time pass; to be called every {@link #tickMs}. */
    List<Out> tick(double nowMs);

    double tickMs();

    /** Takes a message. */
    List<Out> received(double nowMs, String from, MemberMessage message);

    /** Those that are held to be there, but for itself. */
    Set<String> there();
}
