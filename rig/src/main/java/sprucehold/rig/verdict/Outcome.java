package sprucehold.rig.verdict;

/**
 * How one planned query ended for its client.
 *
 * @param plannedMs when it was scheduled to be sent, in milliseconds since the start of the load
 * @param endedMs when it ended, in milliseconds since the start of the load
 * @param end name of the constant of {@code Clients.End} with which it ended
 * @param inTime whether it was completed within its latency objective, counted from its scheduled
 *     time
 * @param sentLateMs how much later than scheduled the rig sent it, in milliseconds
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
    /** Returns whether the query was completed, with complete or partial coverage. */
    public boolean completed() {
        return end.equals("WHOLE") || end.equals("PART");
    }
}
