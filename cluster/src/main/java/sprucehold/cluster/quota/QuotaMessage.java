package sprucehold.cluster.quota;

/** What gatherers say to each other of shares. Each may be lost, doubled, late or out of order. */
public sealed interface QuotaMessage {
    /**
     * Asks for units.
     *
     * @param request grows with each ask of one life of the asker
     * @param epoch the asker's life
     */
    record Ask(long epoch, long request, int units) implements QuotaMessage {}

    /** Answers an ask with a loan. */
    record Grant(long askerEpoch, long request, Lease loan) implements QuotaMessage {}

    /** Answers an ask: nothing can be lent now. */
    record Nothing(long askerEpoch, long request) implements QuotaMessage {}

    /** Asks for a loan that is held to last longer. */
    record Renew(long epoch, long request, Lease loan) implements QuotaMessage {}

    /** Answers that: it lasts a term from when that was asked. */
    record Renewed(long askerEpoch, long request, Lease loan) implements QuotaMessage {}

    /** Gives a loan back before its time. */
    record Return(Lease loan) implements QuotaMessage {}
}
