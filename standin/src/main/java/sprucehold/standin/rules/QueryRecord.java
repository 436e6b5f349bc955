package sprucehold.standin.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.QueryClass;
import sprucehold.standin.ledger.Seen;

/** All that was seen of one query so far. */
final class QueryRecord {
    private final Seen.Asked asked;
    private final QueryClass queryClass;
    private final Map<Integer, List<Double>> arrivalsByShard = new HashMap<>();
    private final Map<Integer, List<Seen.Ran>> runsByShard = new HashMap<>();
    private Seen.Answered answered;
    private double disconnectedMs = Double.POSITIVE_INFINITY;

    QueryRecord(Seen.Asked asked, QueryClass queryClass) {
        this.asked = asked;
        this.queryClass = queryClass;
    }

    Seen.Asked asked() {
        return asked;
    }

    QueryClass queryClass() {
        return queryClass;
    }

    String id() {
        return asked.scan();
    }

    /** When the query's client stops waiting. */
    double deadlineMs() {
        return asked.atMs() + asked.timeLeftMs();
    }

    /** The answer, or null if there is none yet. */
    Seen.Answered answered() {
        return answered;
    }

    void setAnswered(Seen.Answered answer) {
        this.answered = answer;
    }

    /** When the client closed its connection, infinite if it did not. */
    double disconnectedMs() {
        return disconnectedMs;
    }

    void setDisconnectedMs(double atMs) {
        this.disconnectedMs = atMs;
    }

    /** When the query was over, by an answer or the client's close; infinite if it isn't. */
    double overMs() {
        double answeredMs = answered == null ? Double.POSITIVE_INFINITY : answered.atMs();
        return Math.min(answeredMs, disconnectedMs);
    }

    /** When attempts of a part arrived; may be added to. */
    List<Double> arrivals(int shard) {
        return arrivalsByShard.computeIfAbsent(shard, none -> new ArrayList<>());
    }

    /** Where a part ran; may be added to. */
    List<Seen.Ran> runs(int shard) {
        return runsByShard.computeIfAbsent(shard, none -> new ArrayList<>());
    }

    /** Whether any part has run. */
    boolean anyPartRan() {
        return runsByShard.values().stream().anyMatch(runs -> !runs.isEmpty());
    }
}
