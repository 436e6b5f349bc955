package sprucehold.cluster.membership;

/**
 * What one gatherer says of another, or of itself. Of two pieces of news of one name the greater
 * counts, whoever brought it and in whatever order: the later life; in one life the higher
 * incarnation; in one incarnation the worse state. So news may be lost, doubled and late, and all
 * who have heard the same pieces believe the same.
 *
 * @param name of the gatherer
 * @param site it stands in
 * @param life grows with each start under this name
 * @param incarnation raised by the gatherer itself, and nobody else, to refute a suspicion
 */
public record MemberUpdate(String name, String site, long life, int incarnation, State state) {
    /** What a gatherer is held to be, the better first. */
    public enum State {
        /** It answers, or nobody has found that it doesn't. */
        ALIVE,
        /** Somebody had no answer; it has time to refute that. */
        SUSPECT,
        /** It hasn't refuted it in time. It may still be there, cut off. */
        DEAD,
        /** It said that it goes. */
        LEFT;

        /** Whether it is asked and lent to. */
        public boolean counts() {
            return this == ALIVE || this == SUSPECT;
        }
    }

    /** Whether this counts and the other no more. */
    public boolean beats(MemberUpdate other) {
        if (life != other.life) {
            return life > other.life;
        }
        return incarnation != other.incarnation
                ? incarnation > other.incarnation
                : state.compareTo(other.state) > 0;
    }

    MemberUpdate with(State other) {
        return new MemberUpdate(name, site, life, incarnation, other);
    }

    MemberUpdate refuted(int above) {
        return new MemberUpdate(name, site, life, Math.max(incarnation, above) + 1, State.ALIVE);
    }
}
