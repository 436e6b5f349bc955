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

    /** Its share of the whole answer. */
    double weight() {
        return weight;
    }

    /** All attempts so far, in the order of their numbers. */
    List<PartAttempt> attempts() {
        return attempts;
    }

    /** The round that asked for it, or null. */
    Round round() {
        return round;
    }

    boolean isCompleted() {
        return completed;
    }

    /** Whether an attempt ended that doesn't prove that it never ran. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether an attempt ended with its connection reset. */
    boolean hadConnectionReset() {
        return connectionReset;
    }

    /** Whether its query has gone on to the next step. */
    boolean isStepOver() {
        return stepOver;
    }

    /** Whether its result is of no use any more. */
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
