package sprucehold.standin.rules;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.QueryClass;
import sprucehold.standin.ledger.Seen;

/** Observations of one query so far. */
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

    /** Returns the time until which the query's client waits. */
    double deadlineMs() {
        return asked.atMs() + asked.timeLeftMs();
    }

    /** Returns the first answer, or null if there is none yet. */
    Seen.Answered answered() {
        return answered;
    }

    void setAnswered(Seen.Answered answer) {
        this.answered = answer;
    }

    /** Returns the time at which the client closed its connection; infinite if it did not. */
    double disconnectedMs() {
        return disconnectedMs;
    }

    void setDisconnectedMs(double atMs) {
        this.disconnectedMs = atMs;
    }

    /**
     * Returns the time at which the query ended by an answer or the client's disconnect; infinite
     * if it has not ended.
     */
    double endedMs() {
        double answeredMs = answered == null ? Double.POSITIVE_INFINITY : answered.atMs();
        return Math.min(answeredMs, disconnectedMs);
    }

    /** Returns the modifiable list of the arrival times of attempts of a part. */
    List<Double> arrivals(int shard) {
        return arrivalsByShard.computeIfAbsent(shard, key -> new ArrayList<>());
    }

    /** Returns the modifiable list of the runs of a part. */
    List<Seen.Ran> runs(int shard) {
        return runsByShard.computeIfAbsent(shard, key -> new ArrayList<>());
    }

    /** Returns whether any part has run. */
    boolean anyPartRan() {
        return runsByShard.values().stream().anyMatch(runs -> !runs.isEmpty());
    }
}
