package sprucehold.standin.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.standin.ledger.Seen;

/** When gatherers were killed or paused by the run itself, which excuses what they missed. */
final class HoldUps {
    private final Map<String, List<Seen.HeldUp>> byGatherer = new HashMap<>();

    HoldUps(List<Seen> ledger) {
        for (Seen seen : ledger) {
            if (seen instanceof Seen.HeldUp heldUp) {
                byGatherer
                        .computeIfAbsent(heldUp.gatherer(), name -> new ArrayList<>())
                        .add(heldUp);
            }
        }
    }

    /**
     * Whether a query's gatherer was killed at some moment between its begin and its end: what it
     * held is no longer its duty.
     */
    boolean wasKilled(QueryRecord query, double endMs) {
        return of(query).stream()
                .anyMatch(
                        heldUp ->
                                heldUp.killed()
                                        && heldUp.atMs() <= endMs
                                        && heldUp.untilMs() >= query.asked().atMs());
    }

    /**
     * Until when a query has to be answered. A gatherer that is paused at the deadline can't answer
     * before it goes on.
     *
     * @param slackMs how long after that an answer still counts
     */
    double dueMs(QueryRecord query, double slackMs) {
        double deadlineMs = query.deadlineMs();
        return slackMs
                + of(query).stream()
                        .filter(
                                heldUp ->
                                        heldUp.atMs() <= deadlineMs + slackMs
                                                && heldUp.untilMs() >= deadlineMs)
                        .mapToDouble(Seen.HeldUp::untilMs)
                        .reduce(deadlineMs, Math::max);
    }

    private List<Seen.HeldUp> of(QueryRecord query) {
        return byGatherer.getOrDefault(query.asked().gatherer(), List.of());
    }
}
