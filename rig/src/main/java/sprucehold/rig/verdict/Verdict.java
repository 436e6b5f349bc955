package sprucehold.rig.verdict;

import java.util.List;

/**
 * The verdict of a run.
 *
 * @param kind the worst kind that applies
 * @param why the reasons, in words; empty if the run passed
 */
public record Verdict(Kind kind, List<String> why, Figures figures) {
    /** Kinds of verdicts, from the best to the worst. Each has the exit code of the command. */
    public enum Kind {
        /** All rules were kept, and all figures are inside their bands. */
        PASSED(0),
        /** All rules were kept, but a figure is outside its band. */
        OUT_OF_BAND(1),
        /** A rule was broken, or a gatherer ended by itself. */
        BROKEN(1),
        /** The rig's own timers were too late for a verdict: the run does not count. */
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
