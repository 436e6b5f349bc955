package sprucehold.coordinator;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;

/**
 * One sending of a part to a shard server. Times are in milliseconds of the clock that the
 * coordinator is told. Not safe for threads.
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
    private BooleanSupplier permission = () -> true;

    /**
     * @param part what is sent; the attempt takes the next free number of the part
     * @param server where it goes, or null if it isn't listed any more
     * @param sentAtMs when the policy decided on it
     * @param command what the policy wants
     * @param consumed what it consumes of shared limits
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

    /** The id of its part. */
    public String partId() {
        return part.id;
    }

    /** The shard that its part asks. */
    public int shard() {
        return part.shard;
    }

    /** The shard server that it goes to. */
    public ShardServer server() {
        return server;
    }

    /** The query that its part belongs to. */
    public Query query() {
        return part.query.query;
    }

    /** Its place among the attempts of its part, from 0. */
    public int number() {
        return number;
    }

    /** Why the policy wants it. */
    public Reason reason() {
        return reason;
    }

    /** How long it has been pending at a moment, in milliseconds. */
    public double ageMs(double nowMs) {
        return nowMs - sentAtMs;
    }

    /** What it consumes of shared limits. */
    public List<Command.ConsumeAllowance> consumed() {
        return consumed;
    }

    /** When its timeout is over. */
    double timesOutAtMs() {
        return timesOutAtMs;
    }

    boolean isPending() {
        return pending;
    }

    /** Whether it was cancelled because its timeout was over. */
    boolean isTimedOut() {
        return timedOut;
    }

    void markTimedOut() {
        timedOut = true;
    }

    /** It has ended. */
    void end(AttemptOutcome outcome) {
        pending = false;
        neverRan = outcome.provesNeverRan();
    }

    /** Makes its writing depend on something that is asked right before it. */
    public void requirePermission(BooleanSupplier mayBeWritten) {
        permission = mayBeWritten;
    }

    /**
     * Whether it may still be written at this moment. To be asked with nothing between the answer
     * and the write. Guards against a connection that came up late, and a process that stood still
     * after it had decided and goes on as if nothing had been: by then its query may be over, its
     * timeout past, the deduplication window closed, or its permit withdrawn.
     */
    public boolean mayBeWritten(double nowMs) {
        return pending
                && !part.query.isOver()
                && nowMs < timesOutAtMs
                && mayRunBesideOthers(nowMs)
                && permission.getAsBoolean();
    }

    /**
     * Whether a run of it now does no harm beside the part's other attempts that have run, or may
     * have, or may yet.
     */
    private boolean mayRunBesideOthers(double nowMs) {
        QueryClass queryClass = part.query.queryClass();
        return switch (queryClass.idempotence()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED -> {
                double windowMs = queryClass.deduplicationWindowMs();
                yield othersThatMayRun().allMatch(other -> nowMs <= other.sentAtMs + windowMs);
            }
            case NON_IDEMPOTENT -> othersThatMayRun().findAny().isEmpty();
        };
    }

    private Stream<Attempt> othersThatMayRun() {
        return part.attempts.stream().filter(other -> other != this && !other.neverRan);
    }

    /** How much of its timeout is left, in milliseconds; 0 or less once it is over. */
    public double timeLeftMs(double nowMs) {
        return timesOutAtMs - nowMs;
    }

    /** How long its answer is waited for, in milliseconds. */
    public double timeoutMs() {
        return timesOutAtMs - sentAtMs;
    }
}
