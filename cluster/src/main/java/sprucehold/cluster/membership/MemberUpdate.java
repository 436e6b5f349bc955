package sprucehold.cluster.membership;

/**
 * One gatherer's state, as stated by another gatherer or by itself. Of two updates about one name
 * the greater wins, independent of their senders and their order: first by the later generation,
 * then by the higher incarnation, then by the worse state. Updates may therefore be lost, repeated
 * or delayed; all members that have received the same updates agree on the state.
 *
 * @param name name of the gatherer
 * @param site site of the gatherer
 * @param generation increases with each start under this name
 * @param incarnation raised by the gatherer itself, and by no other member, to refute a suspicion
 */
public record MemberUpdate(
        String name, String site, long generation, int incarnation, State state) {
    /**
     * State of a member. The order of the constants, from better to worse, decides which update
     * wins.
     */
    public enum State {
        /** The member answers, or no other member has detected that it doesn't. */
        ALIVE("ALIVE"),
        /** Some member received no answer from this one, which has time to refute the suspicion. */
        SUSPECT("SUSPECT"),
        /**
         * The member didn't refute the suspicion in time. It may still run, cut off from the
         * others.
         */
        DEAD("DEAD"),
        /** The member announced that it leaves. */
        LEFT("LEFT");

        private final String storedName;

        State(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in peer messages and in the JSON status. */
        public String storedName() {
            return storedName;
        }

        /**
         * Returns the state with the given stored name.
         *
         * @throws IllegalArgumentException if no state has that name
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

    /**
     * Returns this member's state as alive, with an incarnation above both its own and {@code
     * above}.
     */
    MemberUpdate refuted(int above) {
        return new MemberUpdate(
                name, site, generation, Math.max(incarnation, above) + 1, State.ALIVE);
    }
}
