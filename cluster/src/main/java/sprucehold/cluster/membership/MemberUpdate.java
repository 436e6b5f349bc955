package sprucehold.cluster.membership;

/**
 * One gatherer's state as another, or it itself, states it. Of two updates about one name the
 * greater wins, whoever sent it and in whatever order: first the later generation, then the higher
 * incarnation, then the worse state. Updates may therefore be lost, repeated and late; all who have
 * received the same ones hold the same state.
 *
 * @param name of the gatherer
 * @param site it stands in
 * @param generation grows with each start under this name
 * @param incarnation raised by the gatherer itself, and nobody else, to refute a suspicion
 */
public record MemberUpdate(
        String name, String site, long generation, int incarnation, State state) {
    /** State of a member, the better first: the order decides which update wins. */
    public enum State {
        /** It answers, or nobody has found that it doesn't. */
        ALIVE("ALIVE"),
        /** Some member had no answer from it; it has time to refute that. */
        SUSPECT("SUSPECT"),
        /** It didn't refute the suspicion in time. It may still run, cut off from the others. */
        DEAD("DEAD"),
        /** It announced that it leaves. */
        LEFT("LEFT");

        private final String storedName;

        State(String storedName) {
            this.storedName = storedName;
        }

        /** The name that peer messages and the status in JSON hold. */
        public String storedName() {
            return storedName;
        }

        /**
         * The constant of that stored name.
         *
         * @throws IllegalArgumentException if none has it
         */
        public static State ofStoredName(String name) {
            for (State state : values()) {
                if (state.storedName.equals(name)) {
                    return state;
                }
            }
            throw new IllegalArgumentException("unknown state: " + name);
        }

        /** Whether a member in this state is probed and asked for leases. */
        public boolean isActive() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Whether this update wins over the other one of the same name. */
    public boolean supersedes(MemberUpdate other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : state.compareTo(other.state) > 0;
    }

    MemberUpdate withState(State other) {
        return new MemberUpdate(name, site, generation, incarnation, other);
    }

    /** This member, alive, with an incarnation above its own and the one given. */
    MemberUpdate refuted(int above) {
        return new MemberUpdate(
                name, site, generation, Math.max(incarnation, above) + 1, State.ALIVE);
    }
}
