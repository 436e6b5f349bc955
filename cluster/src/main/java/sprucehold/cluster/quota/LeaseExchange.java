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
 * Moves units of one shared limit to where they are wanted: a gatherer that runs short asks a few
 * others, one that has units to spare lends them, one that needs a lease no more returns it. Leases
 * end by time (Gray and Cheriton 1989) and are renewed halfway. The exchange decides only who holds
 * what for how long; that no unit is used twice is {@link QuotaLedger}'s matter and doesn't rest on
 * anything here. Pure: time, messages and random numbers are handed in.
 */
public final class LeaseExchange {
    /** A message to a gatherer. */
    public record Outgoing(String to, QuotaMessage message) {}

    /** Time between two ticks, in milliseconds; a shortage is met within a few of these. */
    public static final double TICK_MS = 250;

    /** Requests in a tick: a hundred gatherers are gone round in three seconds. */
    public static final int REQUESTS_PER_TICK = 8;

    /** So much of what was used in the last window is kept or asked for: use comes unevenly. */
    private static final double DEMAND_MARGIN = 1.25;

    /** A request unanswered for so long is lost: round trips take milliseconds. */
    private static final double REQUEST_TIMEOUT_MS = 4 * TICK_MS;

    private final String limit;
    private final QuotaTerms terms;
    private final QuotaLedger ledger;
    private final MonotonicLeaseClock clock;
    private final long epoch;
    private final Random random;
    private final LenderSelection lenders;
    private final PendingRequests pending = new PendingRequests();

    /** The last request answered, by requester: a repeated one gets no second lease. */
    private final Map<String, QuotaMessage.LeaseRequest> answered = new HashMap<>();

    private int refusedUnits;
    private int demand;
    private int usefulUnits;

    /** Who asked last and got nothing, and when. */
    private String refusedRequester = "";

    private double refusedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * @param limit its name, the same at all gatherers
     * @param epoch of the ledger
     * @param peers who may be asked, in any order
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

    /** Those who can be reached now; others are asked no more. */
    public void setPeers(Collection<String> alive) {
        lenders.setPeers(alive);
    }

    /** Uses units if they are free, else returns null. A refusal is remembered as demand. */
    public Permit consume(int units) {
        Permit permit = ledger.consume(units);
        refusedUnits += permit == null ? units : 0;
        return permit;
    }

    /**
     * States how many units a window are wanted here, where that is known better than by what was
     * used and refused.
     *
     * @param usefulUnits the fewest that are of any use, as a part takes so many at once
     */
    public void setDemand(int units, int usefulUnits) {
        this.demand = units;
        this.usefulUnits = usefulUnits;
    }

    /**
     * Units that should be here: what the last window used, what was refused since the last tick,
     * and a margin.
     */
    private int wanted() {
        return Math.max(demand, (int) Math.ceil(DEMAND_MARGIN * (ledger.used() + refusedUnits)));
    }

    /** Units here, used or not. */
    private int held() {
        return terms.ownUnits() - ledger.lent() + ledger.borrowed();
    }

    /** Compares what is wanted with what is held; to be called every {@link #TICK_MS}. */
    public List<Outgoing> tick() {
        return tick(() -> lenders.choose(REQUESTS_PER_TICK));
    }

    /**
     * The same, with those to ask chosen by the caller: a gatherer with many shared limits asks the
     * same few for all.
     */
    public List<Outgoing> tick(Collection<String> toAsk) {
        return tick(() -> new LinkedHashSet<>(toAsk));
    }

    private List<Outgoing> tick(Supplier<Set<String>> toAsk) {
        pending.expire(clock.atLeastMs(), REQUEST_TIMEOUT_MS);
        var out = new ArrayList<Outgoing>();
        int missing = wanted() - held();
        if (missing > 0 && lenders.hasPeers()) {
            request(missing, toAsk.get(), out);
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

    private void request(int missing, Set<String> toAsk, List<Outgoing> out) {
        toAsk.removeIf(pending::asksForLease);
        for (String lender : toAsk) {
            int units = (missing + toAsk.size() - 1) / toAsk.size();
            long number = pending.add(request(lender, null));
            out.add(new Outgoing(lender, new QuotaMessage.LeaseRequest(epoch, number, units)));
        }
    }

    /** Halfway: a request that is lost leaves time for another before the lease is over. */
    private void renew(List<Outgoing> out) {
        for (Lease lease : ledger.expiringWithin(terms.leaseTermMs() / 2)) {
            if (lenders.isPeer(lease.lender()) && !pending.asksToRenew(lease)) {
                long number = pending.add(request(lease.lender(), lease));
                out.add(
                        new Outgoing(
                                lease.lender(),
                                new QuotaMessage.RenewalRequest(epoch, number, lease)));
            }
        }
    }

    private PendingRequests.Request request(String lender, Lease renews) {
        return new PendingRequests.Request(lender, clock.atMostMs(), clock.atLeastMs(), renews);
    }

    /** Those who lent when they were last asked. */
    public Set<String> lenders() {
        return lenders.lenders();
    }

    /** Takes a message, and returns the answers to it. */
    public List<Outgoing> receive(String from, QuotaMessage message) {
        if (message instanceof QuotaMessage.LeaseRequest request) {
            return leaseRequested(from, request);
        } else if (message instanceof QuotaMessage.LeaseGrant grant) {
            return granted(from, grant);
        } else if (message instanceof QuotaMessage.LeaseRefusal refusal) {
            refused(from, refusal);
        } else if (message instanceof QuotaMessage.RenewalRequest request) {
            return renewalRequested(from, request);
        } else if (message instanceof QuotaMessage.RenewalGrant grant) {
            renewed(from, grant);
        } else if (message instanceof QuotaMessage.LeaseReturn returned) {
            ledger.acceptReturn(from, returned.lease());
        }
        return List.of();
    }

    private List<Outgoing> leaseRequested(String from, QuotaMessage.LeaseRequest request) {
        QuotaMessage.LeaseRequest before = answered.get(from);
        if (before != null
                && before.epoch() == request.epoch()
                && before.requestNumber() >= request.requestNumber()) {
            return List.of();
        }
        answered.put(from, request);
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
        if (yieldsTo(to)) {
            return ledger.lend(to, Math.min(units, Math.max(ledger.free(), 0)), 0);
        }
        int reserve = wanted() - ledger.used();
        // Half of what can be spared: the next who asks finds some as well.
        int spare = (ledger.free() - wanted() + ledger.used()) / 2;
        return ledger.lend(to, Math.min(units, Math.max(spare, 0)), Math.max(0, reserve));
    }

    /**
     * Where all hold fewer units than are of use, all would ask and nobody lend: of two, one lends
     * whatever it has.
     */
    private boolean yieldsTo(String requester) {
        return held() < usefulUnits && rank(requester) < rank(ledger.name());
    }

    /** An order of names that differs from limit to limit, and is the same at all gatherers. */
    private int rank(String name) {
        return MurmurHash3.hash32x86((limit + '\n' + name).getBytes(StandardCharsets.UTF_8));
    }

    private List<Outgoing> granted(String from, QuotaMessage.LeaseGrant grant) {
        if (grant.requesterEpoch() != epoch) {
            return List.of();
        }
        PendingRequests.Request request = pending.sentTo(from, grant.requestNumber());
        if (request == null || request.isRenewal() || !grant.lease().lender().equals(from)) {
            return List.of();
        }
        pending.remove(grant.requestNumber());
        lenders.lent(from);
        if (ledger.accept(grant.lease(), request.atMostMs())) {
            return List.of();
        }
        // Too late to be used, and so nothing of it was.
        return List.of(new Outgoing(from, new QuotaMessage.LeaseReturn(grant.lease())));
    }

    private void refused(String from, QuotaMessage.LeaseRefusal refusal) {
        if (refusal.requesterEpoch() == epoch
                && pending.sentTo(from, refusal.requestNumber()) != null) {
            pending.remove(refusal.requestNumber());
            lenders.refused(from);
        }
    }

    /**
     * A lease is not renewed where its units are wanted here by now; and every other time not where
     * another requester was refused lately, so that one that becomes busy later isn't left with
     * nothing by those who were there first.
     */
    private List<Outgoing> renewalRequested(String from, QuotaMessage.RenewalRequest request) {
        boolean passedOn =
                !from.equals(refusedRequester)
                        && clock.atLeastMs() - refusedAtMs < REQUEST_TIMEOUT_MS
                        && random.nextBoolean();
        boolean renewed =
                !passedOn
                        && ledger.free() + ledger.used() >= wanted()
                        && ledger.renew(from, request.lease());
        QuotaMessage answer =
                renewed
                        ? new QuotaMessage.RenewalGrant(
                                request.epoch(), request.requestNumber(), request.lease())
                        : new QuotaMessage.LeaseRefusal(request.epoch(), request.requestNumber());
        return List.of(new Outgoing(from, answer));
    }

    private void renewed(String from, QuotaMessage.RenewalGrant grant) {
        PendingRequests.Request request = pending.sentTo(from, grant.requestNumber());
        if (grant.requesterEpoch() == epoch
                && request != null
                && grant.lease().equals(request.renews())) {
            pending.remove(grant.requestNumber());
            ledger.extend(request.renews(), request.atMostMs());
        }
    }
}
