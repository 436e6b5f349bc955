package sprucehold.cluster.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Members that are suspected and have time to refute it: SWIM's suspicion (Das, Gupta, Motivala
 * 2002) with Lifeguard's timeout (Dadgar, Phillips, Currey 2017), which is long while one member
 * alone suspects and shorter with each that confirms it.
 */
final class Suspicions {
    /**
     * Lifeguard's alpha: the least timeout is so many periods times the decimal logarithm of the
     * number of members.
     */
    private static final double MIN_PERIODS = 4;

    /** Lifeguard's beta: the timeout while one alone suspects, as a multiple of the least. */
    private static final double MAX_OVER_MIN = 6;

    /** Lifeguard's K: other suspecters after whom the least timeout holds. */
    private static final int CONFIRMATIONS = 3;

    private static final class Suspicion {
        double sinceMs;
        final Set<String> suspecters = new HashSet<>();
        boolean suspectAsked;

        Suspicion(double sinceMs) {
            this.sinceMs = sinceMs;
        }
    }

    private final boolean enabled;
    private final double periodMs;
    private final Map<String, Suspicion> byName = new TreeMap<>();

    /**
     * @param enabled false to let each suspicion end at once
     * @param periodMs SWIM's protocol period
     */
    Suspicions(boolean enabled, double periodMs) {
        this.enabled = enabled;
        this.periodMs = periodMs;
    }

    /** The suspected members, sorted. */
    List<String> names() {
        return List.copyOf(byName.keySet());
    }

    /** Begins the time of a suspicion anew. */
    void begin(String name, String suspecter, double nowMs) {
        var suspicion = new Suspicion(nowMs);
        suspicion.suspecters.add(suspecter);
        byName.put(name, suspicion);
    }

    void end(String name) {
        byName.remove(name);
    }

    /**
     * The same suspicion came another way: another member suspects, or passes on whom it believes.
     */
    void confirm(String name, String suspecter) {
        Suspicion suspicion = byName.get(name);
        if (suspicion != null && suspicion.suspecters.size() <= CONFIRMATIONS) {
            suspicion.suspecters.add(suspecter);
        }
    }

    /** Has all last longer: time in which this member could not judge counts against nobody. */
    void postpone(double ms) {
        byName.values().forEach(suspicion -> suspicion.sinceMs += ms);
    }

    /** Milliseconds that a suspected member has left to refute it. */
    double leftMs(String name, int activeOthers, double nowMs) {
        Suspicion suspicion = byName.get(name);
        return suspicion.sinceMs + timeoutMs(suspicion, activeOthers) - nowMs;
    }

    private double timeoutMs(Suspicion suspicion, int activeOthers) {
        if (!enabled) {
            return 0;
        }
        double leastMs = MIN_PERIODS * Math.max(1, Math.log10(activeOthers + 1)) * periodMs;
        double confirmed = Math.log(suspicion.suspecters.size()) / Math.log(CONFIRMATIONS + 1);
        double multiple = MAX_OVER_MIN - (MAX_OVER_MIN - 1) * Math.min(1, confirmed);
        return Math.max(leastMs, leastMs * multiple);
    }

    /** Whether the suspected member is still to be asked itself; true once for each suspicion. */
    boolean askSuspect(String name) {
        Suspicion suspicion = byName.get(name);
        boolean first = !suspicion.suspectAsked;
        suspicion.suspectAsked = true;
        return first;
    }
}
