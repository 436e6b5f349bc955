package sprucehold.policy;

import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Event;

/** A part of an open query, with its attempts. */
final class ScheduledPart {
    private final String id;
    private final ScheduledQuery query;
    private final int shard;
    private final double weight;
    private final List<PartAttempt> attempts = new ArrayList<>();
    private Round round;
    private boolean completed;
    private boolean mayHaveRun;
    private boolean connectionReset;
    private boolean stepOver;

    ScheduledPart(Event.PartReceived received, ScheduledQuery query) {
        this.id = received.id();
        this.query = query;
        this.shard = received.shard();
        this.weight = received.weight();
    }

    void join(Round round) {
        this.round = round;
    }

    void markCompleted() {
        completed = true;
    }

    void markMayHaveRun() {
        mayHaveRun = true;
    }

    void markConnectionReset() {
        connectionReset = true;
    }

    void markStepOver() {
        stepOver = true;
    }

    String id() {
        return id;
    }

    ScheduledQuery query() {
        return query;
    }

    int shard() {
        return shard;
    }

    /** Returns the weight of the part: its share of the complete answer. */
    double weight() {
        return weight;
    }

    /** Returns all attempts so far, in the order of their numbers. */
    List<PartAttempt> attempts() {
        return attempts;
    }

    /**
     * Returns the round that the part belongs to; null if the part hasn't been selected for a round
     * yet.
     */
    Round round() {
        return round;
    }

    boolean isCompleted() {
        return completed;
    }

    /**
     * Returns whether an attempt has ended with an outcome that doesn't prove that the part never
     * ran.
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether an attempt has ended with its connection reset. */
    boolean hadConnectionReset() {
        return connectionReset;
    }

    /** Returns whether the query has continued with its second step. */
    boolean isStepOver() {
        return stepOver;
    }

    /** Returns whether the result of the part is no longer needed. */
    boolean isObsolete() {
        return query.isOver() || stepOver;
    }

    boolean hasPendingAttempt() {
        return attempts.stream().anyMatch(PartAttempt::isPending);
    }

    boolean wasSentTo(ShardServerState server) {
        return attempts.stream().anyMatch(attempt -> attempt.server() == server);
    }
}
