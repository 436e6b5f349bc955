package sprucehold.cluster.quota;

/**
 * What gatherers send each other about one shared limit. Each message may be lost, repeated, late
 * or out of order.
 */
public sealed interface QuotaMessage {
    /**
     * Asks for units.
     *
     * @param epoch the requester's
     * @param requestNumber grows with each request of that epoch
     */
    record LeaseRequest(long epoch, long requestNumber, int units) implements QuotaMessage {}

    /** Answers a request with a lease. */
    record LeaseGrant(long requesterEpoch, long requestNumber, Lease lease)
            implements QuotaMessage {}

    /** Answers a request: nothing can be lent, or the lease isn't renewed. */
    record LeaseRefusal(long requesterEpoch, long requestNumber) implements QuotaMessage {}

    /** Asks for a lease that is held to last longer. */
    record RenewalRequest(long epoch, long requestNumber, Lease lease) implements QuotaMessage {}

    /** Answers that: the lease lasts a term from when the renewal was asked for. */
    record RenewalGrant(long requesterEpoch, long requestNumber, Lease lease)
            implements QuotaMessage {}

    /** Returns a lease before its time. */
    record LeaseReturn(Lease lease) implements QuotaMessage {}
}
