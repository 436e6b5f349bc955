package sprucehold.cluster.simulation;

import java.util.Set;

/**
 * Something that befalls members for a time.
 *
 * @param members members by number
 * @param fromMs when it begins, in milliseconds of simulated time
 * @param toMs when it is over
 */
public record SimulatedFault(Kind kind, Set<Integer> members, double fromMs, double toMs) {
    /** What may befall them. */
    public enum Kind {
        /** They and the others hear nothing of each other. */
        CUT_OFF,
        /** They hear nothing. */
        DEAF,
        /** Nobody hears them. */
        MUTE,
        /** They do nothing, and then go on as if nothing had been. */
        PAUSED,
        /** They are dead, and come back with a new life. */
        DEAD,
        /** Each of them hears nobody and is heard by nobody. */
        ALONE
    }

    boolean isActiveAt(double nowMs) {
        return nowMs >= fromMs && nowMs < toMs;
    }

    /** Whether it keeps a message from getting through. */
    boolean cuts(int from, int to, double nowMs) {
        return isActiveAt(nowMs)
                && switch (kind) {
                    case CUT_OFF -> members.contains(from) != members.contains(to);
                    case DEAF -> members.contains(to);
                    case MUTE -> members.contains(from);
                    case ALONE -> members.contains(from) || members.contains(to);
                    case PAUSED, DEAD -> false;
                };
    }
}
