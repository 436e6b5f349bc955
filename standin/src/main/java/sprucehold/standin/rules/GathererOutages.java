package sprucehold.standin.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.standin.ledger.Seen;

/**
 * Times at which the run itself killed or paused gatherers. Answers missed because of that are not
 * violations.
 */
final class GathererOutages {
    private final Map<String, List<Seen.HeldUp>> outagesByGatherer = new HashMap<>();

    GathererOutages(List<Seen> ledger) {
        for (Seen seen : ledger) {
            if (seen instanceof Seen.HeldUp outage) {
                outagesByGatherer
                        .computeIfAbsent(outage.gatherer(), name -> new ArrayList<>())
                        .add(outage);
            }
        }
    }

    /**
     * Returns whether the run killed a query's gatherer so that it was down at some time between
     * the start and the end of the query. Such a gatherer no longer has to answer the query.
     *
     * @param endMs end of the query, in milliseconds
     */
    boolean wasKilled(QueryRecord query, double endMs) {
        return outagesOf(query).stream()
                .anyMatch(
                        outage ->
                                outage.killed()
                                        && outage.atMs() <= endMs
                                        && outage.untilMs() >= query.asked().atMs());
    }

    /**
     * Returns the time by which a query has to be answered, in milliseconds. A gatherer that is
     * paused at the deadline can't answer before it resumes.
     *
     * @param slackMs time after the deadline or the end of the pause within which an answer still
     *     counts, in milliseconds
     */
    double latestAnswerMs(QueryRecord query, double slackMs) {
        double deadlineMs = query.deadlineMs();
        return slackMs
                + outagesOf(query).stream()
                        .filter(
                                outage ->
                                        outage.atMs() <= deadlineMs + slackMs
                                                && outage.untilMs() >= deadlineMs)
                        .mapToDouble(Seen.HeldUp::untilMs)
                        .reduce(deadlineMs, Math::max);
    }

    private List<Seen.HeldUp> outagesOf(QueryRecord query) {
        return outagesByGatherer.getOrDefault(query.asked().gatherer(), List.of());
    }
}
