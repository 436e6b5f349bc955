package sprucehold.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaLedger;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * Visits every state of a bounded world: three gatherers, two units that are the homes of two of
 * them, asks, loans and returns as messages that are lost, doubled and late, uses that are sent at
 * once or after a pause, a crash, clocks that drift apart and a wall clock that jumps. In no window
 * may more than two uses be sent. A state is rebuilt by playing its steps again, as the pure part
 * is deterministic.
 */
public class QuotaLedgerExplorerTest {
    private static final double TICK_MS = 500;
    private static final double WINDOW_MS = 1000;

    /** What is put wrong on purpose. */
    private enum Mutation {
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
    private record Clocks(double a, double b, double c, double jumpMs) {}

    /** How often what may happen; {@code all} gatherers or only the first and the last. */
    private record Most(
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

    private static final Clocks EVEN = new Clocks(1, 1, 1, 0);

    /**
     * All three, and a little of everything: some seconds as it stands, and over a minute with
     * -Dsprucehold.explore=all.
     */
    private static final Most ALL =
            "all".equals(System.getProperty("sprucehold.explore"))
                    ? new Most(true, 5, 2, 3, 1, 1, 1, 1, 1)
                    : new Most(true, 4, 1, 3, 1, 1, 0, 1, 0);

    /** A lender and a borrower, for as long as a loan lasts. */
    private static final Most LOAN = new Most(false, 11, 1, 3, 0, 0, 1, 0, 0);

    private static final Most DOUBLED = new Most(false, 11, 1, 3, 0, 1, 0, 0, 0);
    private static final Most RETURNED = new Most(false, 7, 2, 3, 0, 0, 0, 1, 0);
    private static final Most CRASHED = new Most(false, 11, 2, 3, 1, 0, 0, 1, 0);
    private static final Most RENEWED = new Most(false, 14, 1, 3, 0, 0, 0, 0, 1);
    private static final Most RENEWED_AND_MORE = new Most(false, 9, 1, 3, 0, 1, 0, 1, 1);

    private record Message(int from, int to, String what, int request, Lease loan) {}

    private static final class ExchangedClock extends MonotonicLeaseClock {
        @Override
        public double atLeastMs() {
            return super.atMostMs();
        }

        @Override
        public double atMostMs() {
            return super.atLeastMs();
        }
    }

    private static final class Member {
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

    private static final class World {
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

        World(Mutation mutation, Clocks clocks, Most most) {
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
            boolean holds =
                    member.pending.isValid(member.clock) || mutation == Mutation.PERMIT_IGNORED;
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
                                new Message(
                                        message.to, message.from, "grant", message.request, lease));
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
                        under.add(
                                new Message(message.to, message.from, "renewed", 0, message.loan));
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
                                                member.pending.notAfterMs()
                                                        - member.clock.atMostMs()))
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

    private record Found(int states, List<String> broken) {}

    private static World play(Mutation mutation, Clocks clocks, Most most, List<String> steps) {
        var world = new World(mutation, clocks, most);
        steps.forEach(world::take);
        return world;
    }

    /** Visits all states, and stops at the first in which the bound is broken. */
    private static Found explore(Mutation mutation, Clocks clocks, Most most) {
        Set<String> seen = new HashSet<>();
        var next = new ArrayDeque<List<String>>();
        next.add(List.of());
        while (!next.isEmpty()) {
            List<String> steps = next.poll();
            for (String step : play(mutation, clocks, most, steps).steps()) {
                var longer = new ArrayList<>(steps);
                longer.add(step);
                World world = play(mutation, clocks, most, longer);
                if (world.broken != null) {
                    longer.add(world.broken);
                    return new Found(seen.size(), longer);
                }
                if (seen.add(world.key())) {
                    next.add(longer);
                }
            }
        }
        return new Found(seen.size(), null);
    }

    @DataProvider
    Object[][] worlds() {
        return new Object[][] {
            {"all three", EVEN, ALL},
            {"a loan", EVEN, LOAN},
            {
                "a loan, the lender's clock fast and the borrower's slow",
                new Clocks(1.25, 1, 0.75, 0),
                LOAN
            },
            {
                "a loan, the lender's clock slow and the borrower's fast",
                new Clocks(0.75, 1, 1.25, 0),
                LOAN
            },
            {"a loan, a wall clock jumps ahead", new Clocks(1.25, 1, 0.75, 3000), LOAN},
            {"a loan, a wall clock jumps back", new Clocks(1.25, 1, 0.75, -3000), LOAN},
            {"doubled messages", EVEN, DOUBLED},
            {"returns", EVEN, RETURNED},
            {"a crash", EVEN, CRASHED},
            {"a renewal", EVEN, RENEWED},
            {
                "a renewal, the lender's clock fast and the borrower's slow",
                new Clocks(1.25, 1, 0.75, 0),
                RENEWED
            },
            {"a renewal, doubled messages and a return", EVEN, RENEWED_AND_MORE},
        };
    }

    @Test(dataProvider = "worlds")
    public void noWindowSeesMoreUsesThanTheLimitWhateverHappens(
            String what, Clocks clocks, Most most) {
        Found found = explore(Mutation.NONE, clocks, most);
        assertEquals(found.broken, null, what);
        assertTrue(found.states >= 500, "too few states to prove anything: " + found.states);
        System.out.println(what + ": explored " + found.states + " states");
    }

    @DataProvider
    Object[][] mutations() {
        return new Object[][] {
            {Mutation.CLOCKS_EXCHANGED, new Clocks(1, 1, 1, 3000), LOAN},
            {Mutation.DRIFT_IGNORED, new Clocks(1.25, 1, 0.75, 0), LOAN},
            {Mutation.TERM_FROM_RECEIPT, EVEN, LOAN},
            {Mutation.EPOCH_IGNORED, EVEN, CRASHED},
            {Mutation.NEW_LIFE_BEGINS_FREE, EVEN, CRASHED},
            {Mutation.DOUBLED_GRANT_TAKEN_TWICE, EVEN, DOUBLED},
            {Mutation.USED_AFTER_RETURN, EVEN, RETURNED},
            {Mutation.PERMIT_IGNORED, EVEN, LOAN},
            {Mutation.USES_FORGOTTEN_EARLY, EVEN, LOAN},
            {Mutation.LOAN_WITHOUT_END, EVEN, LOAN},
            {Mutation.RENEWED_FROM_RECEIPT, new Clocks(1.25, 1, 0.75, 0), RENEWED},
            {Mutation.RENEWED_BY_ITSELF, new Clocks(1.25, 1, 0.75, 0), RENEWED},
            {Mutation.RENEWED_AFTER_RETURN, EVEN, RENEWED_AND_MORE},
        };
    }

    @Test(dataProvider = "mutations")
    public void eachMutationIsFound(Mutation mutation, Clocks clocks, Most most) {
        Found found = explore(mutation, clocks, most);
        assertNotNull(found.broken, mutation + " was not found in " + found.states + " states");
        System.out.println(
                mutation
                        + " found after "
                        + found.states
                        + " states: "
                        + String.join(", ", found.broken));
    }

    @Test
    public void onlyItsBorrowerReturnsALease() {
        var clock = new MonotonicLeaseClock();
        clock.read(0, 0);
        var ledger = new QuotaLedger("a", 1, new QuotaTerms(2, 0, 1000, 20, 2000, 0), clock);
        clock.read(1e5, 1e5);
        Lease lease = ledger.lend("b", 2, 0);
        ledger.acceptReturn("c", lease);
        assertEquals(ledger.free(), 0);
        ledger.acceptReturn("b", lease);
        assertEquals(ledger.free(), 2);
    }
}
