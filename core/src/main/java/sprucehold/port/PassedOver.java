package sprucehold.port;

/** A holder that a part was not sent to, though it holds the segment, and for what. */
public record PassedOver(String server, Cause cause) {

    /** What spoke against it. New causes are added at the end: files hold their numbers. */
    public enum Cause {
        DRAINING("draining or gone"),
        TRIED("had this part before"),
        SET_ASIDE("set aside after failures"),
        NO_ROOM("no room"),
        COLD_BUDGET("freshly started and at its cold budget"),
        SUSPECT("suspect: it failed lately, or its zone is late");

        private final String words;

        Cause(String words) {
            this.words = words;
        }

        /** The cause in words. */
        public String words() {
            return words;
        }
    }
}
