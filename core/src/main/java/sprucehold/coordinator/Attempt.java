package sprucehold.coordinator;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/**
 * One request that sends a part to a shard server. Times are in milliseconds on the clock whose
 * readings are passed to the {@link QueryCoordinator}. Not thread-safe.
 */
public final class Attempt {
    private final OpenPart part;
    private final int number;
    private final double sentAtMs;
    private final double timesOutAtMs;
    private final ShardServer server;
    private final List<Command.ConsumeAllowance> consumed;
    private final Reason reason;

    private boolean pending = true;
    private boolean timedOut;
    private boolean neverRan;
    private BooleanSupplier permissionCheck = () -> true;

    /**
     * @param part the part to send; the attempt gets the part's next free attempt number
     * @param server the shard server to send to, or null if the endpoint list no longer contains it
     * @param sentAtMs time at which the policy decided to make the attempt
     * @param command the policy's command to make the attempt
     * @param consumed units of shared limits that the attempt consumes
     */
    Attempt(
            OpenPart part,
            ShardServer server,
            double sentAtMs,
            Command.SendAttempt command,
            List<Command.ConsumeAllowance> consumed) {
        this.part = part;
        this.number = part.attempts.size();
        this.server = server;
        this.sentAtMs = sentAtMs;
        this.timesOutAtMs = sentAtMs + command.timeoutMs();
        this.consumed = consumed;
        this.reason = command.reason();
    }

    OpenPart part() {
        return part;
    }

    /** Returns the id of the part that this attempt sends. */
    public String partId() {
        return part.id;
    }

    /** Returns the shard that the part queries. */
    public int shard() {
        return part.shard;
    }

    /** Returns the shard server that this attempt is sent to. */
    public ShardServer server() {
        return server;
    }

    /** Returns the query that the part belongs to. */
    public Query query() {
        return part.query.query;
    }

    /** Returns the index of this attempt among the attempts of its part, from 0. */
    public int number() {
        return number;
    }

    /** Returns the policy's reason for this attempt. */
    public Reason reason() {
        return reason;
    }

    /** Returns the time from the start of this attempt until {@code nowMs}, in milliseconds. */
    public double ageMs(double nowMs) {
        return nowMs - sentAtMs;
    }

    /** Returns the units of shared limits that this attempt consumes. */
    public List<Command.ConsumeAllowance> consumed() {
        return consumed;
    }

    /** Returns the time at which this attempt times out. */
    double timesOutAtMs() {
        return timesOutAtMs;
    }

    boolean isPending() {
        return pending;
    }

    /** Returns whether the part has run, may have run or may still run by this attempt. */
    boolean mayRun() {
        return !neverRan;
    }

    /** Returns whether this attempt was cancelled because its timeout expired. */
    boolean isTimedOut() {
        return timedOut;
    }

    void markTimedOut() {
        timedOut = true;
    }

    /** Records that this attempt has ended. */
    void end(AttemptOutcome outcome) {
        pending = false;
        neverRan = outcome.provesNeverRan();
    }

    /** Sets a check that must return true right before this attempt is written. */
    public void setPermissionCheck(BooleanSupplier permissionCheck) {
        this.permissionCheck = permissionCheck;
    }

    /**
     * Returns whether this attempt may still be written. Call this immediately before the write.
     *
     * <p>The check is needed when a connection is established late, or when the process is paused
     * between the decision and the write. In the meantime the query may have been closed, the
     * timeout or the deduplication window may have expired, or the permission for the units of
     * shared limits may have been withdrawn.
     */
    public boolean isWriteAllowed(double nowMs) {
        return pending
                && !part.query.isClosed()
                && nowMs < timesOutAtMs
                && isRepeatAllowed(nowMs)
                && permissionCheck.getAsBoolean();
    }

    /**
     * Returns whether the query class allows this attempt to run now, given the part's other
     * attempts that have run, may have run or may still run.
     */
    private boolean isRepeatAllowed(double nowMs) {
        QueryClass queryClass = part.query.queryClass();
        return switch (queryClass.idempotence()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED -> {
                double windowMs = queryClass.deduplicationWindowMs();
                yield otherAttemptsThatMayRun()
                        .allMatch(other -> nowMs <= other.sentAtMs + windowMs);
            }
            case NON_IDEMPOTENT -> otherAttemptsThatMayRun().findAny().isEmpty();
        };
    }

    private Stream<Attempt> otherAttemptsThatMayRun() {
        return part.attempts.stream().filter(other -> other != this && !other.neverRan);
    }

    /**
     * Returns the time until this attempt times out, in milliseconds. The value is 0 or negative
     * once the timeout has expired.
     */
    public double remainingTimeoutMs(double nowMs) {
        return timesOutAtMs - nowMs;
    }

    /** Returns the timeout of this attempt, in milliseconds. */
    public double timeoutMs() {
        return timesOutAtMs - sentAtMs;
    }
}
