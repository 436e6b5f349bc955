package sprucehold.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaLedger;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * Three gatherers and the messages between them: one state of the bounded world that {@link
 * QuotaLedgerExplorerTest} explores.
 */
final class LeaseWorld {
    static final double TICK_MS = 500;
    static final double WINDOW_MS = 1000;

    /** Faults that are built in on purpose; each must lead to a violation of the limit. */
    enum Mutation {
        NONE,
        CLOCK_BOUNDS_SWAPPED,
        DRIFT_IGNORED,
        TERM_FROM_RECEIPT,
        EPOCH_IGNORED,
        NEW_EPOCH_STARTS_FREE,
        DUPLICATE_GRANT_ACCEPTED,
        USED_AFTER_RETURN,
        PERMIT_IGNORED,
        USES_EXPIRED_EARLY,
        LEASE_WITHOUT_END,
        RENEWED_FROM_RECEIPT,
        RENEWED_WITHOUT_GRANT,
        RENEWED_AFTER_RETURN
    }

    /**
     * Rates of the three gatherers' clocks, and the jump of one gatherer's wall clock in
     * milliseconds.
     */
    record Clocks(double a, double b, double c, double jumpMs) {}

    /** Maximum number of each kind of step, with all gatherers or only the first and the last. */
    record StepLimits(
            boolean allGatherers,
            int ticks,
            int requests,
            int uses,
            int crashes,
            int duplicates,
            int losses,
            int returns,
            int renewals) {
        int maxUsesInWindow() {
            return allGatherers ? 2 : 1;
        }
    }

    record Message(int from, int to, String kind, int request, Lease lease) {}

    static final class SwappedClock extends MonotonicLeaseClock {
        @Override
        public double atLeastMs() {
            return super.atMostMs();
        }

        @Override
        public double atMostMs() {
            return super.atLeastMs();
        }
    }

    static final class Member {
        final int number;
        MonotonicLeaseClock clock;
        QuotaLedger ledger;
        long epoch;
        double countedMs;
        double wallMs;
        Permit pending;

        /** The pending request, and the upper bound of the time at which it was made. */
        int request = -1;

        double requestedAtMs;
        Lease renewing;
        double renewalRequestedAtMs;

        Member(int number) {
            this.number = number;
        }
    }

    final Mutation mutation;
    final Clocks clocks;
    final StepLimits limits;
    final QuotaTerms lender;
    final QuotaTerms borrower;
    final List<Member> members = new ArrayList<>();
    final List<Message> inFlight = new ArrayList<>();
    final List<Double> sent = new ArrayList<>();
    double now;
    int ticks;
    int requests;
    int uses;
    int crashes;
    int jumps;
    int duplicates;
    int returns;
    int renewals;
    int losses;
    String violation;

    LeaseWorld(Mutation mutation, Clocks clocks, StepLimits limits) {
        this.mutation = mutation;
        this.clocks = clocks;
        this.limits = limits;
        double drift = mutation == Mutation.DRIFT_IGNORED ? 0 : 0.25;
        double window = mutation == Mutation.USES_EXPIRED_EARLY ? 1 : WINDOW_MS;
        lender = new QuotaTerms(1, 0, window, 300, 2000, drift);
        borrower =
                new QuotaTerms(
                        0,
                        0,
                        window,
                        300,
                        mutation == Mutation.LEASE_WITHOUT_END ? 1e6 : 2000,
                        drift);
        for (int i = 0; i < 3; i++) {
            var member = new Member(i);
            members.add(member);
            begin(member);
            // Long enough after the start that no assumed use or lease of an earlier epoch counts.
            member.countedMs += 1e5;
            member.wallMs += 1e5;
            read(member);
        }
    }

    private void begin(Member member) {
        member.clock =
                mutation == Mutation.CLOCK_BOUNDS_SWAPPED
                        ? new SwappedClock()
                        : new MonotonicLeaseClock();
        read(member);
        member.epoch++;
        member.ledger =
                new QuotaLedger(
                        "abc".substring(member.number, member.number + 1),
                        member.epoch,
                        member.number < 2 ? lender : borrower,
                        member.clock);
        member.pending = null;
        member.request = -1;
        if (mutation == Mutation.NEW_EPOCH_STARTS_FREE) {
            member.countedMs += 1e5;
            member.wallMs += 1e5;
            read(member);
        }
    }

    private static void read(Member member) {
        member.clock.read(member.countedMs, member.wallMs);
    }

    List<String> steps() {
        var steps = new ArrayList<String>();
        if (ticks < limits.ticks) {
            steps.add("tick");
        }
        for (Member member : members) {
            int i = member.number;
            if (i == 1 && !limits.allGatherers) {
                continue;
            }
            if (member.pending != null) {
                steps.add("send " + i);
            } else if (uses < limits.uses && member.ledger.free() > 0) {
                steps.add("use " + i);
            }
            if (requests < limits.requests && member.request < 0 && i != 0) {
                steps.add("ask " + i);
            }
            if (returns < limits.returns && member.ledger.borrowed() > 0) {
                steps.add("return " + i);
            }
            if (renewals < limits.renewals && !member.ledger.expiringWithin(1e9).isEmpty()) {
                steps.add("renew " + i);
            }
            if (crashes < limits.crashes && i == 0) {
                steps.add("crash " + i);
            }
            if (clocks.jumpMs != 0 && jumps < 1) {
                steps.add("jump " + i);
            }
        }
        for (int i = 0; i < inFlight.size(); i++) {
            steps.add("deliver " + i);
            if (losses < limits.losses) {
                steps.add("lose " + i);
            }
            if (duplicates < limits.duplicates) {
                steps.add("double " + i);
            }
        }
        return steps;
    }

    void apply(String step) {
        String[] words = step.split(" ", -1);
        int index = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        switch (words[0]) {
            case "tick" -> {
                ticks++;
                now += TICK_MS;
                double[] rates = {clocks.a, clocks.b, clocks.c};
                for (Member member : members) {
                    member.countedMs += TICK_MS * rates[member.number];
                    member.wallMs += TICK_MS * rates[member.number];
                    read(member);
                }
            }
            case "jump" -> {
                jumps++;
                members.get(index).wallMs += clocks.jumpMs;
                read(members.get(index));
            }
            case "crash" -> {
                crashes++;
                begin(members.get(index));
            }
            case "ask" -> {
                Member requester = members.get(index);
                requester.request = requests++;
                requester.requestedAtMs = requester.clock.atMostMs();
                inFlight.add(new Message(index, 0, "ask", requester.request, null));
            }
            case "renew" -> {
                renewals++;
                Member member = members.get(index);
                member.renewing = member.ledger.expiringWithin(1e9).get(0);
                member.renewalRequestedAtMs = member.clock.atMostMs();
                if (mutation == Mutation.RENEWED_WITHOUT_GRANT) {
                    member.ledger.extend(member.renewing, member.renewalRequestedAtMs);
                }
                inFlight.add(new Message(index, 0, "renew", 0, member.renewing));
            }
            case "use" -> {
                uses++;
                members.get(index).pending = members.get(index).ledger.consume(1);
            }
            case "send" -> send(members.get(index));
            case "return" -> {
                returns++;
                Member member = members.get(index);
                List<Lease> returned = member.ledger.releaseUnused(1);
                if (mutation == Mutation.USED_AFTER_RETURN) {
                    returned.forEach(lease -> member.ledger.accept(lease, member.clock.atMostMs()));
                }
                returned.forEach(lease -> inFlight.add(new Message(index, 0, "return", 0, lease)));
            }
            case "lose" -> {
                losses++;
                inFlight.remove(index);
            }
            case "deliver" -> deliver(inFlight.remove(index));
            case "double" -> {
                duplicates++;
                deliver(inFlight.get(index));
            }
            default -> throw new IllegalArgumentException(step);
        }
    }

    private void send(Member member) {
        boolean valid = member.pending.isValid(member.clock) || mutation == Mutation.PERMIT_IGNORED;
        member.pending = null;
        if (valid) {
            sent.add(now);
            long inWindow = sent.stream().filter(at -> at > now - WINDOW_MS).count();
            if (inWindow > limits.maxUsesInWindow()) {
                violation = inWindow + " uses in one window";
            }
        }
    }

    private void deliver(Message message) {
        Member to = members.get(message.to);
        switch (message.kind) {
            case "ask" -> {
                Lease lease = to.ledger.lend("" + message.from, 1, 0);
                if (lease != null) {
                    inFlight.add(
                            new Message(message.to, message.from, "grant", message.request, lease));
                }
            }
            case "grant" -> {
                if (to.request == message.request
                        || mutation == Mutation.DUPLICATE_GRANT_ACCEPTED) {
                    to.ledger.accept(
                            message.lease,
                            mutation == Mutation.TERM_FROM_RECEIPT
                                    ? to.clock.atMostMs()
                                    : to.requestedAtMs);
                    to.request = -1;
                }
            }
            case "renew" -> {
                if (to.ledger.renew("" + message.from, message.lease)) {
                    inFlight.add(
                            new Message(message.to, message.from, "renewed", 0, message.lease));
                }
            }
            case "renewed" -> {
                double from =
                        mutation == Mutation.RENEWED_FROM_RECEIPT
                                ? to.clock.atMostMs()
                                : to.renewalRequestedAtMs;
                to.ledger.extend(message.lease, from);
                if (mutation == Mutation.RENEWED_AFTER_RETURN && to.ledger.borrowed() == 0) {
                    to.ledger.accept(message.lease, from);
                }
            }
            case "return" -> {
                Lease lease = message.lease;
                if (mutation == Mutation.EPOCH_IGNORED) {
                    lease = new Lease(lease.lender(), to.epoch, lease.number(), lease.units());
                }
                to.ledger.acceptReturn("" + message.from, lease);
            }
            default -> throw new IllegalArgumentException(message.kind);
        }
    }

    /** Returns a key of everything on which the following steps can depend. */
    String stateKey() {
        var key = new StringBuilder();
        for (Member member : members) {
            key.append(member.ledger)
                    .append(
                            member.pending == null
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            " sends<%.0f",
                                            member.pending.notAfterMs() - member.clock.atMostMs()))
                    .append(
                            member.request < 0
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            " asked %d %.0f",
                                            member.request,
                                            member.clock.atMostMs() - member.requestedAtMs))
                    .append(" e")
                    .append(member.epoch)
                    .append(
                            member.renewing == null
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            " renews %.0f",
                                            member.clock.atMostMs() - member.renewalRequestedAtMs))
                    .append(';');
        }
        inFlight.stream().map(Message::toString).sorted().forEach(key::append);
        sent.stream()
                .filter(at -> at > now - WINDOW_MS)
                .forEach(at -> key.append(' ').append(now - at));
        return key.append(' ')
                .append(ticks)
                .append(requests)
                .append(uses)
                .append(crashes)
                .append(jumps)
                .append(duplicates)
                .append(returns)
                .append(losses)
                .append(renewals)
                .toString();
    }
}
