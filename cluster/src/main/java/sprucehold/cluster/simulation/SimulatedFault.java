package sprucehold.cluster.simulation;

import java.util.Set;

/**
 * A fault of some members for a limited time.
 *
 * @param members numbers of the affected members
 * @param fromMs start of the fault, in milliseconds of simulated time
 * @param toMs end of the fault, in milliseconds of simulated time
 */
public record SimulatedFault(Kind kind, Set<Integer> members, double fromMs, double toMs) {
    /** Kinds of faults. */
    public enum Kind {
        /** The members and all other members receive no messages from each other. */
        CUT_OFF,
        /** The members receive no messages. */
        DEAF,
        /** No other member receives messages from the members. */
        MUTE,
        /**
         * The members do nothing during the fault, and then continue without noticing the pause.
         */
        PAUSED,
        /** The members are dead, and restart in a new generation at the end. */
        DEAD,
        /** Each of the members neither sends nor receives any messages. */
        ALONE
    }

    boolean isActiveAt(double nowMs) {
        return nowMs >= fromMs && nowMs < toMs;
    }

    /** Whether the fault prevents the delivery of a message. */
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
