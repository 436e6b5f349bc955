package sprucehold.coordinator;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import sprucehold.decision.Command;
import sprucehold.decision.Reason;

/** One sending of a part to a shard server. */
public final class Attempt {
    final OpenPart part;
    final int number;
    final double sentAt;
    final double timesOutAt;
    boolean pending = true;
    boolean timedOut;

    /** It is over and surely never ran. */
    boolean neverRan;

    private final ShardServer server;
    private final List<Command.ConsumeAllowance> consumed;
    private final Reason reason;
    private BooleanSupplier permission = () -> true;

    /**
     * @param uses what it takes of shared bounds
     * @param reason why the decisions want it
     */
    Attempt(
            OpenPart part,
            ShardServer server,
            double sentAt,
            double patienceMs,
            List<Command.ConsumeAllowance> uses,
            Reason reason) {
        this.consumed = uses;
        this.reason = reason;
        this.part = part;
        this.number = part.attempts.size();
        this.server = server;
        this.sentAt = sentAt;
        this.timesOutAt = sentAt + patienceMs;
    }

    public String partId() {
        return part.id;
    }

    public int shard() {
        return part.shard;
    }

    public ShardServer server() {
        return server;
    }

    public Query query() {
        return part.query.query;
    }

    /** Its place among the attempts of its part, from 0. */
    public int number() {
        return number;
    }

    /** Why the decisions want it. */
    public Reason reason() {
        return reason;
    }

    /** How long it has been out at a moment, in milliseconds. */
    public double ageMs(double nowMs) {
        return nowMs - sentAt;
    }

    /** What it takes of bounds that gatherers share. */
    public List<Command.ConsumeAllowance> consumed() {
        return consumed;
    }

    /** Makes its writing depend on something that is asked right before it. */
    public void requirePermission(BooleanSupplier mayBeWritten) {
        permission = mayBeWritten;
    }

    /**
     * Whether it may still be written at this moment. To be asked with nothing between the answer
     * and the write. Guards against a connection that came up late, and a process that stood still
     * after it had decided and goes on as if nothing had been: by then its scan may be over, its
     * own time up, the time within which repeats are dropped past, or its leave withdrawn.
     */
    public boolean mayBeWritten(double nowMs) {
        return pending
                && !part.query.over
                && nowMs < timesOutAt
                && mayRunBeside(nowMs)
                && permission.getAsBoolean();
    }

    /**
     * Whether a run of it now does no harm beside the part's other dispatches that have run, or may
     * have, or may yet.
     */
    private boolean mayRunBeside(double nowMs) {
        return switch (part.query.type.idempotence()) {
            case IDEMPOTENT -> true;
            case DEDUPLICATED ->
                    others().allMatch(
                                    other ->
                                            nowMs
                                                    <= other.sentAt
                                                            + part.query.type
                                                                    .deduplicationWindowMs());
            case NON_IDEMPOTENT -> others().findAny().isEmpty();
        };
    }

    private Stream<Attempt> others() {
        return part.attempts.stream().filter(other -> other != this && !other.neverRan);
    }

    /**
     * How much of the time that its answer is waited for is left, in milliseconds; 0 or less once
     * it is over.
     */
    public double timeLeftMs(double nowMs) {
        return timesOutAt - nowMs;
    }

    /** How long its answer is waited for. */
    public double timeoutMs() {
        return timesOutAt - sentAt;
    }
}
