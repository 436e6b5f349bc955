package sprucehold.cluster.quota;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Moves units of one shared limit to the gatherers that need them. A gatherer that runs short
 * requests units from a few others, one with spare units lends them, and one that no longer needs a
 * lease returns it. Leases expire (Gray and Cheriton 1989) and are renewed halfway through their
 * term.
 *
 * <p>The exchange only decides which gatherer has which units for how long. {@link QuotaLedger}
 * ensures that no unit is used twice, independent of this class. The class is pure: time, messages
 * and random numbers are passed in.
 */
public final class LeaseExchange {
    /** A message to a gatherer. */
    public record Outgoing(String to, QuotaMessage message) {}

    /** Time between two ticks, in milliseconds; a shortage is covered within a few ticks. */
    public static final double TICK_MS = 250;

    /** Requests per tick: at eight, all of a hundred gatherers are asked within three seconds. */
    public static final int REQUESTS_PER_TICK = 8;

    /**
     * Units needed, as a multiple of the units that were used in the last window or refused since
     * the last tick. Use fluctuates from window to window; the margin covers a rise by a quarter.
     */
    private static final double DEMAND_MARGIN = 1.25;

    /**
     * Time after which an unanswered request counts as lost, in milliseconds; round trips take only
     * a few milliseconds.
     */
    private static final double REQUEST_TIMEOUT_MS = 4 * TICK_MS;

    private final String limit;
    private final QuotaTerms terms;
    private final QuotaLedger ledger;
    private final MonotonicLeaseClock clock;
    private final long epoch;
    private final Random random;
    private final LenderSelection lenders;
    private final PendingRequests pending = new PendingRequests();

    /** The last request answered, by requester: a repeated request gets no second lease. */
    private final Map<String, QuotaMessage.LeaseRequest> lastAnswered = new HashMap<>();

    private int refusedUnits;
    private int demand;
    private int usefulUnits;

    /** Requester of the last refused request; empty if none was refused. */
    private String refusedRequester = "";

    /** Lower bound of elapsed time at the last refusal, in milliseconds. */
    private double refusedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param limit name of the limit, the same at all gatherers
     * @param epoch epoch of the ledger
     * @param peers gatherers that may be asked for units, in any order
     */
    public LeaseExchange(
            String limit,
            QuotaTerms terms,
            QuotaLedger ledger,
            MonotonicLeaseClock clock,
            long epoch,
            Collection<String> peers,
            Random random) {
        this.limit = limit;
        this.terms = terms;
        this.ledger = ledger;
        this.clock = clock;
        this.epoch = epoch;
        this.random = random;
        this.lenders = new LenderSelection(random);
        setPeers(peers);
    }

    /** Sets the gatherers that can be reached now; no requests are sent to any others. */
    public void setPeers(Collection<String> alive) {
        lenders.setPeers(alive);
    }

    /**
     * Uses units if they are free, otherwise returns null. A refusal counts as demand in the next
     * tick.
     */
    public Permit consume(int units) {
        Permit permit = ledger.consume(units);
        refusedUnits += permit == null ? units : 0;
        return permit;
    }

    /**
     * Sets the minimum number of units per window that this gatherer needs. If the units used and
     * refused indicate a greater need, that one applies.
     *
     * @param usefulUnits the fewest units that are of any use, since that many are used at once,
     *     for example by one part of a query
     */
    public void setDemand(int units, int usefulUnits) {
        this.demand = units;
        this.usefulUnits = usefulUnits;
    }

    /**
     * Returns the units needed at this gatherer: those used in the last window and those refused
     * since the last tick, with a margin, or the demand that was set if it is greater.
     */
    private int neededUnits() {
        return Math.max(demand, (int) Math.ceil(DEMAND_MARGIN * (ledger.used() + refusedUnits)));
    }

    /** Returns the units at this gatherer, used or not. */
    private int heldUnits() {
        return terms.ownUnits() - ledger.lent() + ledger.borrowed();
    }

    /**
     * Compares the units needed with the units held, and requests, renews or returns leases; must
     * be called every {@link #TICK_MS} milliseconds.
     */
    public List<Outgoing> tick() {
        return tick(() -> lenders.choose(REQUESTS_PER_TICK));
    }

    /**
     * Does the same as {@link #tick()}, with the gatherers to ask chosen by the caller: a gatherer
     * with many shared limits asks the same few gatherers for all of them.
     */
    public List<Outgoing> tick(Collection<String> toAsk) {
        return tick(() -> new LinkedHashSet<>(toAsk));
    }

    private List<Outgoing> tick(Supplier<Set<String>> toAsk) {
        pending.expire(clock.atLeastMs(), REQUEST_TIMEOUT_MS);
        var out = new ArrayList<Outgoing>();
        int missing = neededUnits() - heldUnits();
        if (missing > 0 && lenders.hasPeers()) {
            requestLeases(missing, toAsk.get(), out);
        } else if (missing < 0) {
            for (Lease lease : ledger.releaseUnused(-missing)) {
                out.add(new Outgoing(lease.lender(), new QuotaMessage.LeaseReturn(lease)));
            }
        }
        if (missing >= 0) {
            renew(out);
        }
        refusedUnits = 0;
        return out;
    }

    private void requestLeases(int missing, Set<String> toAsk, List<Outgoing> out) {
        toAsk.removeIf(pending::hasLeaseRequestTo);
        for (String lender : toAsk) {
            int units = (missing + toAsk.size() - 1) / toAsk.size();
            long number = pending.add(newRequest(lender, null));
            out.add(new Outgoing(lender, new QuotaMessage.LeaseRequest(epoch, number, units)));
        }
    }

    /**
     * Requests renewals of leases past half of their term: if a request is lost, there is time for
     * another before the lease expires.
     */
    private void renew(List<Outgoing> out) {
        for (Lease lease : ledger.expiringWithin(terms.leaseTermMs() / 2)) {
            if (lenders.isPeer(lease.lender()) && !pending.hasRenewalOf(lease)) {
                long number = pending.add(newRequest(lease.lender(), lease));
                out.add(
                        new Outgoing(
                                lease.lender(),
                                new QuotaMessage.RenewalRequest(epoch, number, lease)));
            }
        }
    }

    private PendingRequests.Request newRequest(String lender, Lease renews) {
        return new PendingRequests.Request(lender, clock.atMostMs(), clock.atLeastMs(), renews);
    }

    /** Returns the gatherers whose last answer to a request was a grant. */
    public Set<String> lenders() {
        return lenders.lenders();
    }

    /** Handles a message and returns the answers to it. */
    public List<Outgoing> receive(String from, QuotaMessage message) {
        if (message instanceof QuotaMessage.LeaseRequest request) {
            return handleLeaseRequest(from, request);
        } else if (message instanceof QuotaMessage.LeaseGrant grant) {
            return handleLeaseGrant(from, grant);
        } else if (message instanceof QuotaMessage.LeaseRefusal refusal) {
            handleLeaseRefusal(from, refusal);
        } else if (message instanceof QuotaMessage.RenewalRequest request) {
            return handleRenewalRequest(from, request);
        } else if (message instanceof QuotaMessage.RenewalGrant grant) {
            handleRenewalGrant(from, grant);
        } else if (message instanceof QuotaMessage.LeaseReturn returned) {
            ledger.acceptReturn(from, returned.lease());
        }
        return List.of();
    }

    private List<Outgoing> handleLeaseRequest(String from, QuotaMessage.LeaseRequest request) {
        QuotaMessage.LeaseRequest before = lastAnswered.get(from);
        if (before != null
                && before.epoch() == request.epoch()
                && before.requestNumber() >= request.requestNumber()) {
            return List.of();
        }
        lastAnswered.put(from, request);
        Lease lease = request.units() <= 0 ? null : lend(from, request.units());
        if (lease == null) {
            refusedRequester = from;
            refusedAtMs = clock.atLeastMs();
            return List.of(
                    new Outgoing(
                            from,
                            new QuotaMessage.LeaseRefusal(
                                    request.epoch(), request.requestNumber())));
        }
        return List.of(
                new Outgoing(
                        from,
                        new QuotaMessage.LeaseGrant(
                                request.epoch(), request.requestNumber(), lease)));
    }

    private Lease lend(String to, int units) {
        if (lendsAllTo(to)) {
            return ledger.lend(to, Math.min(units, Math.max(ledger.free(), 0)), 0);
        }
        int reserve = neededUnits() - ledger.used();
        // Lends half of the spare units, so that some are left for the next requester.
        int spare = (ledger.free() - neededUnits() + ledger.used()) / 2;
        return ledger.lend(to, Math.min(units, Math.max(spare, 0)), Math.max(0, reserve));
    }

    /**
     * Whether this gatherer lends all free units to the requester. If every gatherer held fewer
     * units than are of any use, all would request units and none would lend any. Of two such
     * gatherers, the one with the higher rank therefore lends all its free units.
     */
    private boolean lendsAllTo(String requester) {
        return heldUnits() < usefulUnits && rank(requester) < rank(ledger.name());
    }

    /**
     * Returns a rank that orders the gatherers' names differently for each limit, but equally at
     * all gatherers.
     */
    private int rank(String name) {
        return MurmurHash3.hash32x86((limit + '\n' + name).getBytes(StandardCharsets.UTF_8));
    }

    private List<Outgoing> handleLeaseGrant(String from, QuotaMessage.LeaseGrant grant) {
        if (grant.requesterEpoch() != epoch) {
            return List.of();
        }
        PendingRequests.Request request = pending.sentTo(from, grant.requestNumber());
        if (request == null || request.isRenewal() || !grant.lease().lender().equals(from)) {
            return List.of();
        }
        pending.remove(grant.requestNumber());
        lenders.recordGrant(from);
        if (ledger.accept(grant.lease(), request.atMostMs())) {
            return List.of();
        }
        // The lease expired before it was accepted, so none of its units were used and it can be
        // returned at once.
        return List.of(new Outgoing(from, new QuotaMessage.LeaseReturn(grant.lease())));
    }

    private void handleLeaseRefusal(String from, QuotaMessage.LeaseRefusal refusal) {
        if (refusal.requesterEpoch() == epoch
                && pending.sentTo(from, refusal.requestNumber()) != null) {
            pending.remove(refusal.requestNumber());
            lenders.recordRefusal(from);
        }
    }

    /**
     * Handles a renewal request. A lease is not renewed if this gatherer itself needs the units
     * now. A renewal is also refused at random half of the time if another requester was refused
     * recently; otherwise earlier borrowers would keep all units, and a gatherer that becomes busy
     * later would get none.
     */
    private List<Outgoing> handleRenewalRequest(String from, QuotaMessage.RenewalRequest request) {
        boolean withheld =
                !from.equals(refusedRequester)
                        && clock.atLeastMs() - refusedAtMs < REQUEST_TIMEOUT_MS
                        && random.nextBoolean();
        boolean renewed =
                !withheld
                        && ledger.free() + ledger.used() >= neededUnits()
                        && ledger.renew(from, request.lease());
        QuotaMessage answer =
                renewed
                        ? new QuotaMessage.RenewalGrant(
                                request.epoch(), request.requestNumber(), request.lease())
                        : new QuotaMessage.LeaseRefusal(request.epoch(), request.requestNumber());
        return List.of(new Outgoing(from, answer));
    }

    private void handleRenewalGrant(String from, QuotaMessage.RenewalGrant grant) {
        PendingRequests.Request request = pending.sentTo(from, grant.requestNumber());
        if (grant.requesterEpoch() == epoch
                && request != null
                && grant.lease().equals(request.renews())) {
            pending.remove(grant.requestNumber());
            ledger.extend(request.renews(), request.atMostMs());
        }
    }
}
