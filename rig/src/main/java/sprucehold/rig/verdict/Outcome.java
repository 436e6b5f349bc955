package sprucehold.rig.verdict;

/**
 * How one planned scan ended for its client.
 *
 * @param plannedMs when it was to be asked, and {@code endedMs} when it was over, in milliseconds
 *     from the first scan
 * @param end one of the ends that clients tell of
 * @param inTime whether it was completed in its target time, counted from when it was to be asked
 * @param sentLateMs how much later than planned the rig sent it
 */
public record Outcome(
        double plannedMs,
        double endedMs,
        String site,
        String tableType,
        String customer,
        String end,
        boolean inTime,
        double sentLateMs) {
    /** Whether it was completed, whole or in part. */
    public boolean completed() {
        return end.equals("WHOLE") || end.equals("PART");
    }
}
