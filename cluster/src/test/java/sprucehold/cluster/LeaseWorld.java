package sprucehold.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaLedger;
import sprucehold.cluster.quota.QuotaTerms;

/** Three gatherers and the messages between them: one state of the bounded world. */
final class LeaseWorld {
    static final double TICK_MS = 500;
    static final double WINDOW_MS = 1000;

    /** What is put wrong on purpose. */
    enum Mutation {
        NONE,
        CLOCKS_EXCHANGED,
        DRIFT_IGNORED,
        TERM_FROM_RECEIPT,
        EPOCH_IGNORED,
        NEW_LIFE_BEGINS_FREE,
        DOUBLED_GRANT_TAKEN_TWICE,
        USED_AFTER_RETURN,
        PERMIT_IGNORED,
        USES_FORGOTTEN_EARLY,
        LOAN_WITHOUT_END,
        RENEWED_FROM_RECEIPT,
        RENEWED_BY_ITSELF,
        RENEWED_AFTER_RETURN
    }

    /** How fast the clocks of the three run, and how far the wall clock of one jumps. */
    record Clocks(double a, double b, double c, double jumpMs) {}

    /** How often what may happen; {@code all} gatherers or only the first and the last. */
    record Most(
            boolean all,
            int ticks,
            int asks,
            int uses,
            int crashes,
            int doubled,
            int lost,
            int returns,
            int renews) {
        int bound() {
            return all ? 2 : 1;
        }
    }

    record Message(int from, int to, String what, int request, Lease loan) {}

    static final class ExchangedClock extends MonotonicLeaseClock {
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

        /** The request that is open, and the fast clock when it was made. */
        int request = -1;

        double askedAt;
        Lease renewing;
        double renewAskedAt;

        Member(int number) {
            this.number = number;
        }
    }

    final Mutation mutation;
    final Clocks clocks;
    final Most most;
    final QuotaTerms lender;
    final QuotaTerms borrower;
    final List<Member> members = new ArrayList<>();
    final List<Message> under = new ArrayList<>();
    final List<Double> sent = new ArrayList<>();
    double now;
    int ticks;
    int asks;
    int uses;
    int crashes;
    int jumps;
    int doubled;
    int returns;
    int renews;
    int lost;
    String broken;

    LeaseWorld(Mutation mutation, Clocks clocks, Most most) {
        this.mutation = mutation;
        this.clocks = clocks;
        this.most = most;
        double drift = mutation == Mutation.DRIFT_IGNORED ? 0 : 0.25;
        double window = mutation == Mutation.USES_FORGOTTEN_EARLY ? 1 : WINDOW_MS;
        lender = new QuotaTerms(1, 0, window, 300, 2000, drift);
        borrower =
                new QuotaTerms(
                        0,
                        0,
                        window,
                        300,
                        mutation == Mutation.LOAN_WITHOUT_END ? 1e6 : 2000,
                        drift);
        for (int i = 0; i < 3; i++) {
            var member = new Member(i);
            members.add(member);
            begin(member);
            // Long enough ago that nothing of an earlier life counts.
            member.countedMs += 1e5;
            member.wallMs += 1e5;
            read(member);
        }
    }

    private void begin(Member member) {
        member.clock =
                mutation == Mutation.CLOCKS_EXCHANGED
                        ? new ExchangedClock()
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
        if (mutation == Mutation.NEW_LIFE_BEGINS_FREE) {
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
        if (ticks < most.ticks) {
            steps.add("tick");
        }
        for (Member member : members) {
            int i = member.number;
            if (i == 1 && !most.all) {
                continue;
            }
            if (member.pending != null) {
                steps.add("send " + i);
            } else if (uses < most.uses && member.ledger.free() > 0) {
                steps.add("use " + i);
            }
            if (asks < most.asks && member.request < 0 && i != 0) {
                steps.add("ask " + i);
            }
            if (returns < most.returns && member.ledger.borrowed() > 0) {
                steps.add("return " + i);
            }
            if (renews < most.renews && !member.ledger.expiringWithin(1e9).isEmpty()) {
                steps.add("renew " + i);
            }
            if (crashes < most.crashes && i == 0) {
                steps.add("crash " + i);
            }
            if (clocks.jumpMs != 0 && jumps < 1) {
                steps.add("jump " + i);
            }
        }
        for (int i = 0; i < under.size(); i++) {
            steps.add("deliver " + i);
            if (lost < most.lost) {
                steps.add("lose " + i);
            }
            if (doubled < most.doubled) {
                steps.add("double " + i);
            }
        }
        return steps;
    }

    void take(String step) {
        String[] words = step.split(" ", -1);
        int of = words.length > 1 ? Integer.parseInt(words[1]) : 0;
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
                members.get(of).wallMs += clocks.jumpMs;
                read(members.get(of));
            }
            case "crash" -> {
                crashes++;
                begin(members.get(of));
            }
            case "ask" -> {
                Member asker = members.get(of);
                asker.request = asks++;
                asker.askedAt = asker.clock.atMostMs();
                under.add(new Message(of, 0, "ask", asker.request, null));
            }
            case "renew" -> {
                renews++;
                Member member = members.get(of);
                member.renewing = member.ledger.expiringWithin(1e9).get(0);
                member.renewAskedAt = member.clock.atMostMs();
                if (mutation == Mutation.RENEWED_BY_ITSELF) {
                    member.ledger.extend(member.renewing, member.renewAskedAt);
                }
                under.add(new Message(of, 0, "renew", 0, member.renewing));
            }
            case "use" -> {
                uses++;
                members.get(of).pending = members.get(of).ledger.consume(1);
            }
            case "send" -> send(members.get(of));
            case "return" -> {
                returns++;
                Member member = members.get(of);
                List<Lease> back = member.ledger.releaseUnused(1);
                if (mutation == Mutation.USED_AFTER_RETURN) {
                    back.forEach(lease -> member.ledger.accept(lease, member.clock.atMostMs()));
                }
                back.forEach(lease -> under.add(new Message(of, 0, "return", 0, lease)));
            }
            case "lose" -> {
                lost++;
                under.remove(of);
            }
            case "deliver" -> deliver(under.remove(of));
            case "double" -> {
                doubled++;
                deliver(under.get(of));
            }
            default -> throw new IllegalArgumentException(step);
        }
    }

    private void send(Member member) {
        boolean holds = member.pending.isValid(member.clock) || mutation == Mutation.PERMIT_IGNORED;
        member.pending = null;
        if (holds) {
            sent.add(now);
            long inWindow = sent.stream().filter(at -> at > now - WINDOW_MS).count();
            if (inWindow > most.bound()) {
                broken = inWindow + " uses in one window";
            }
        }
    }

    private void deliver(Message message) {
        Member to = members.get(message.to);
        switch (message.what) {
            case "ask" -> {
                Lease lease = to.ledger.lend("" + message.from, 1, 0);
                if (lease != null) {
                    under.add(
                            new Message(message.to, message.from, "grant", message.request, lease));
                }
            }
            case "grant" -> {
                if (to.request == message.request
                        || mutation == Mutation.DOUBLED_GRANT_TAKEN_TWICE) {
                    to.ledger.accept(
                            message.loan,
                            mutation == Mutation.TERM_FROM_RECEIPT
                                    ? to.clock.atMostMs()
                                    : to.askedAt);
                    to.request = -1;
                }
            }
            case "renew" -> {
                if (to.ledger.renew("" + message.from, message.loan)) {
                    under.add(new Message(message.to, message.from, "renewed", 0, message.loan));
                }
            }
            case "renewed" -> {
                double from =
                        mutation == Mutation.RENEWED_FROM_RECEIPT
                                ? to.clock.atMostMs()
                                : to.renewAskedAt;
                to.ledger.extend(message.loan, from);
                if (mutation == Mutation.RENEWED_AFTER_RETURN && to.ledger.borrowed() == 0) {
                    to.ledger.accept(message.loan, from);
                }
            }
            case "return" -> {
                Lease lease = message.loan;
                if (mutation == Mutation.EPOCH_IGNORED) {
                    lease = new Lease(lease.lender(), to.epoch, lease.number(), lease.units());
                }
                to.ledger.acceptReturn("" + message.from, lease);
            }
            default -> throw new IllegalArgumentException(message.what);
        }
    }

    /** All that what comes next can depend on. */
    String key() {
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
                                            member.clock.atMostMs() - member.askedAt))
                    .append(" e")
                    .append(member.epoch)
                    .append(
                            member.renewing == null
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            " renews %.0f",
                                            member.clock.atMostMs() - member.renewAskedAt))
                    .append(';');
        }
        under.stream().map(Message::toString).sorted().forEach(key::append);
        sent.stream()
                .filter(at -> at > now - WINDOW_MS)
                .forEach(at -> key.append(' ').append(now - at));
        return key.append(' ')
                .append(ticks)
                .append(asks)
                .append(uses)
                .append(crashes)
                .append(jumps)
                .append(doubled)
                .append(returns)
                .append(lost)
                .append(renews)
                .toString();
    }
}
