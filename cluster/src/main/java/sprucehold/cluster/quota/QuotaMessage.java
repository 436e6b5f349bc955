package sprucehold.cluster.quota;

/**
 * A message between gatherers about one shared limit. Any message may be lost, repeated, delayed or
 * out of order.
 */
public sealed interface QuotaMessage {
    /**
     * Requests units.
     *
     * @param epoch epoch of the requester
     * @param requestNumber increases with each request of that epoch
     */
    record LeaseRequest(long epoch, long requestNumber, int units) implements QuotaMessage {}

    /** Answers a {@link LeaseRequest} with a lease. */
    record LeaseGrant(long requesterEpoch, long requestNumber, Lease lease)
            implements QuotaMessage {}

    /**
     * Answers a {@link LeaseRequest} if nothing can be lent, or a {@link RenewalRequest} if the
     * lease isn't renewed.
     */
    record LeaseRefusal(long requesterEpoch, long requestNumber) implements QuotaMessage {}

    /** Requests the renewal of a borrowed lease. */
    record RenewalRequest(long epoch, long requestNumber, Lease lease) implements QuotaMessage {}

    /**
     * Answers a {@link RenewalRequest}: the lease lasts for a term from the time of that request.
     */
    record RenewalGrant(long requesterEpoch, long requestNumber, Lease lease)
            implements QuotaMessage {}

    /** Returns a lease before it expires. */
    record LeaseReturn(Lease lease) implements QuotaMessage {}
}
