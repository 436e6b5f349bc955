package sprucehold.cluster.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import sprucehold.cluster.quota.LeaseExchange;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaLedger;
import sprucehold.cluster.quota.QuotaMessage;
import sprucehold.cluster.quota.QuotaTerms;

/** One gatherer's parts of all shared limits, by the name of each limit. */
final class SharedLimits {
    /**
     * Maximum number of limit messages in one message: at about 100 bytes each, with the name of
     * the limit, they fit into a datagram.
     */
    private static final int MAX_IN_MESSAGE = 10;

    /**
     * Maximum number of random draws per gatherer to choose. A draw may return a gatherer that is
     * already chosen, and the limit bounds the repetitions.
     */
    private static final int DRAWS_PER_LENDER = 4;

    private static final class Part {
        final QuotaTerms terms;
        final QuotaLedger ledger;
        final LeaseExchange exchange;

        /**
         * Whether the limit is closed: its units are neither used nor lent any more. The part is
         * kept until its lent and used units have expired.
         */
        boolean closed;

        Part(QuotaTerms terms, QuotaLedger ledger, LeaseExchange exchange) {
            this.terms = terms;
            this.ledger = ledger;
            this.exchange = exchange;
        }

        boolean isExpired() {
            return closed && ledger.lent() == 0 && ledger.used() == 0;
        }

        CoordinationSession.LimitStatus status() {
            return new CoordinationSession.LimitStatus(
                    terms.ownUnits(),
                    ledger.lent(),
                    ledger.borrowed(),
                    ledger.used(),
                    ledger.free());
        }
    }

    private final String self;
    private final MonotonicLeaseClock clock;
    private final Random random;
    private final Map<String, Part> parts = new TreeMap<>();
    private Set<String> peers = Set.of();

    /** Epoch of all ledgers. */
    private long epoch;

    /** Lower bound of elapsed time at the start of the epoch, in milliseconds. */
    private double epochBeganMs;

    SharedLimits(String self, long epoch, MonotonicLeaseClock clock, Random random) {
        this.self = self;
        this.epoch = epoch;
        this.clock = clock;
        this.random = random;
        this.epochBeganMs = clock.atLeastMs();
    }

    /**
     * Opens a limit. A limit that was closed and still has lent or used units continues with them.
     */
    void open(String limit, QuotaTerms terms) {
        Part before = parts.get(limit);
        if (before == null) {
            put(limit, terms);
        } else {
            before.closed = false;
        }
    }

    private void put(String limit, QuotaTerms terms) {
        double epochAgeMs = clock.atLeastMs() - epochBeganMs;
        var ledger = new QuotaLedger(self, epoch, terms, clock, epochAgeMs);
        var ownRandom = new Random(random.nextLong());
        var exchange = new LeaseExchange(limit, terms, ledger, clock, epoch, peers, ownRandom);
        parts.put(limit, new Part(terms, ledger, exchange));
    }

    void close(String limit) {
        Part part = parts.get(limit);
        if (part != null) {
            part.closed = true;
        }
    }

    /** Begins a new epoch, as if all units had been used and lent at the moment before. */
    void beginEpoch(long newEpoch) {
        epoch = newEpoch;
        epochBeganMs = clock.atLeastMs();
        parts.values().removeIf(part -> part.closed);
        new TreeMap<>(parts).forEach((limit, part) -> put(limit, part.terms));
    }

    void setPeers(Set<String> alive) {
        peers = alive;
        parts.values().forEach(part -> part.exchange.setPeers(alive));
    }

    /** Returns the part of an open limit, or null if the limit isn't open. */
    private Part openPart(String limit) {
        Part part = parts.get(limit);
        return part == null || part.closed ? null : part;
    }

    boolean isOpen(String limit) {
        return openPart(limit) != null;
    }

    Collection<String> names() {
        return parts.keySet();
    }

    void setDemand(String limit, int units, int usefulUnits) {
        Part part = openPart(limit);
        if (part != null) {
            part.exchange.setDemand(units, usefulUnits);
        }
    }

    /** Returns the units that may be used now; 0 if the limit isn't open. */
    int free(String limit) {
        Part part = openPart(limit);
        return part == null ? 0 : part.ledger.free();
    }

    /** Uses units of an open limit, or returns null if fewer are free. */
    Permit consume(String limit, int units) {
        return openPart(limit).exchange.consume(units);
    }

    /** Returns the units of a limit, or null if it isn't open. */
    CoordinationSession.LimitStatus status(String limit) {
        Part part = openPart(limit);
        return part == null ? null : part.status();
    }

    Map<String, CoordinationSession.LimitStatus> statuses() {
        var statuses = new TreeMap<String, CoordinationSession.LimitStatus>();
        parts.forEach((limit, part) -> statuses.put(limit, part.status()));
        return statuses;
    }

    /**
     * Requests, renews and returns leases; must be called every {@link LeaseExchange#TICK_MS}
     * milliseconds.
     */
    void tick(List<CoordinationSession.Outgoing> out) {
        parts.values().removeIf(Part::isExpired);
        Set<String> toAsk = chooseLenders();
        var byReceiver = new TreeMap<String, List<ClusterMessage.LimitMessage>>();
        parts.forEach(
                (limit, part) -> {
                    if (!part.closed) {
                        part.exchange
                                .tick(toAsk)
                                .forEach(outgoing -> collect(limit, outgoing, byReceiver));
                    }
                });
        byReceiver.forEach((receiver, messages) -> send(receiver, messages, out));
    }

    private static void collect(
            String limit,
            LeaseExchange.Outgoing outgoing,
            Map<String, List<ClusterMessage.LimitMessage>> byReceiver) {
        byReceiver
                .computeIfAbsent(outgoing.to(), none -> new ArrayList<>())
                .add(new ClusterMessage.LimitMessage(limit, outgoing.message()));
    }

    /**
     * Chooses the gatherers to ask for units. At most half of them are taken from those whose last
     * answer was a grant; the others are drawn at random. All limits ask the same few, so that the
     * requests of several limits to one gatherer fit into one message.
     */
    private Set<String> chooseLenders() {
        var chosen = new LinkedHashSet<String>();
        for (Part part : parts.values()) {
            int places = Math.max(0, LeaseExchange.REQUESTS_PER_TICK / 2 - chosen.size());
            part.exchange.lenders().stream().limit(places).forEach(chosen::add);
        }
        List<String> all = List.copyOf(peers);
        int count = Math.min(LeaseExchange.REQUESTS_PER_TICK, all.size());
        int maxDraws = DRAWS_PER_LENDER * LeaseExchange.REQUESTS_PER_TICK;
        for (int draws = 0; chosen.size() < count && draws < maxDraws; draws++) {
            chosen.add(all.get(random.nextInt(all.size())));
        }
        return chosen;
    }

    /** Handles messages and sends the answers to them. */
    void receive(
            String from, ClusterMessage.QuotaPart quota, List<CoordinationSession.Outgoing> out) {
        var answers = new ArrayList<ClusterMessage.LimitMessage>();
        for (ClusterMessage.LimitMessage each : quota.messages()) {
            // A closed limit lends nothing, but accepts returned leases, which let it expire
            // sooner.
            Part part =
                    each.message() instanceof QuotaMessage.LeaseRequest
                            ? openPart(each.limit())
                            : parts.get(each.limit());
            if (part != null) {
                part.exchange
                        .receive(from, each.message())
                        .forEach(
                                answer ->
                                        answers.add(
                                                new ClusterMessage.LimitMessage(
                                                        each.limit(), answer.message())));
            }
        }
        send(from, answers, out);
    }

    private static void send(
            String to,
            List<ClusterMessage.LimitMessage> messages,
            List<CoordinationSession.Outgoing> out) {
        for (int from = 0; from < messages.size(); from += MAX_IN_MESSAGE) {
            int end = Math.min(messages.size(), from + MAX_IN_MESSAGE);
            var quota = new ClusterMessage.QuotaPart(List.copyOf(messages.subList(from, end)));
            out.add(new CoordinationSession.Outgoing(to, quota));
        }
    }
}
