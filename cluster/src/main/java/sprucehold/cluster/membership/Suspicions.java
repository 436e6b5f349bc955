package sprucehold.cluster.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The suspected members, each with the time that it has to refute the suspicion: SWIM's suspicion
 * (Das, Gupta, Motivala 2002) with Lifeguard's timeout (Dadgar, Phillips, Currey 2017). The timeout
 * is long while only one member suspects, and gets shorter with each member that confirms the
 * suspicion.
 */
final class Suspicions {
    /**
     * Lifeguard's alpha: the minimum timeout is this number of periods times the decimal logarithm
     * of the number of members.
     */
    private static final double MIN_PERIODS = 4;

    /**
     * Lifeguard's beta: the timeout while only one member suspects, as a multiple of the minimum
     * timeout.
     */
    private static final double MAX_OVER_MIN = 6;

    /**
     * Lifeguard's K: number of confirmations by other members that reduce the timeout to its
     * minimum.
     */
    private static final int CONFIRMATIONS = 3;

    private static final class Suspicion {
        double sinceMs;
        final Set<String> suspecters = new HashSet<>();
        boolean pinged;

        Suspicion(double sinceMs) {
            this.sinceMs = sinceMs;
        }
    }

    private final boolean enabled;
    private final double periodMs;
    private final Map<String, Suspicion> byName = new TreeMap<>();

    /**
     * @param enabled false to let each suspicion expire at once
     * @param periodMs SWIM's protocol period, in milliseconds
     */
    Suspicions(boolean enabled, double periodMs) {
        this.enabled = enabled;
        this.periodMs = periodMs;
    }

    /** Returns the names of the suspected members, sorted. */
    List<String> names() {
        return List.copyOf(byName.keySet());
    }

    /** Starts a suspicion. It replaces an earlier suspicion of the same member. */
    void begin(String name, String suspecter, double nowMs) {
        var suspicion = new Suspicion(nowMs);
        suspicion.suspecters.add(suspecter);
        byName.put(name, suspicion);
    }

    void end(String name) {
        byName.remove(name);
    }

    /**
     * Adds a member that sent the same suspicion, either as its own or as an update that it passes
     * on.
     */
    void confirm(String name, String suspecter) {
        Suspicion suspicion = byName.get(name);
        if (suspicion != null && suspicion.suspecters.size() <= CONFIRMATIONS) {
            suspicion.suspecters.add(suspecter);
        }
    }

    /**
     * Extends all suspicions by {@code ms}: time in which this member could not judge doesn't count
     * against suspected members.
     */
    void postpone(double ms) {
        byName.values().forEach(suspicion -> suspicion.sinceMs += ms);
    }

    /** Returns the milliseconds that a suspected member has left to refute the suspicion. */
    double leftMs(String name, int activeOthers, double nowMs) {
        Suspicion suspicion = byName.get(name);
        return suspicion.sinceMs + timeoutMs(suspicion, activeOthers) - nowMs;
    }

    private double timeoutMs(Suspicion suspicion, int activeOthers) {
        if (!enabled) {
            return 0;
        }
        double minTimeoutMs = MIN_PERIODS * Math.max(1, Math.log10(activeOthers + 1)) * periodMs;
        double confirmed = Math.log(suspicion.suspecters.size()) / Math.log(CONFIRMATIONS + 1);
        double multiple = MAX_OVER_MIN - (MAX_OVER_MIN - 1) * Math.min(1, confirmed);
        return Math.max(minTimeoutMs, minTimeoutMs * multiple);
    }

    /**
     * Records that a suspected member is pinged shortly before its suspicion expires, so that it
     * can send its refutation in the ack.
     *
     * @return true on the first call for each suspicion
     */
    boolean markPinged(String name) {
        Suspicion suspicion = byName.get(name);
        boolean first = !suspicion.pinged;
        suspicion.pinged = true;
        return first;
    }
}
