package sprucehold.rig.verdict;

import java.util.List;

/**
 * What a run comes to.
 *
 * @param kind the worst that holds
 * @param why in words, one thing a line; empty where all is well
 */
public record Verdict(Kind kind, List<String> why, Figures figures) {
    /** Kinds of verdicts, the best first; the number is a command's exit code. */
    public enum Kind {
        /** All rules kept, all figures inside their bands. */
        PASSED(0),
        /** All rules kept, but a figure is outside its band. */
        OUT_OF_BAND(1),
        /** A rule was broken, or a gatherer ended by itself. */
        BROKEN(1),
        /** The rig itself was too late to tell: the run does not count. */
        STARVED(3);

        private final int exit;

        Kind(int exit) {
            this.exit = exit;
        }

        public int exit() {
            return exit;
        }
    }
}
