package sprucehold.cluster.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.ToDoubleBiFunction;
import java.util.stream.IntStream;
import sprucehold.cluster.quota.LeaseExchange;
import sprucehold.cluster.quota.MonotonicLeaseClock;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaLedger;

/**
 * A fleet that shares one bound, in simulated time: who wanted how much, who got it, and what any
 * window saw at the most.
 */
public final class QuotaSimulation {
    /**
     * What is played.
     *
     * @param bound units in any window over the whole fleet
     * @param demand uses wanted a second, by member and time in milliseconds
     * @param drift clocks run fast or slow by up to this share, each by its own
     */
    public record Setting(
            int members,
            int bound,
            double windowMs,
            double termMs,
            double drift,
            double lengthMs,
            Network network,
            List<SimulatedFault> troubles,
            ToDoubleBiFunction<Integer, Double> demand) {}

    /**
     * What came of it.
     *
     * @param wanted uses wanted while their member was up; {@code got} of them were granted
     * @param mostInWindow units sent in the fullest window, by true time
     * @param messages sent by all members
     * @param dropped uses granted but not sent, as their time was over
     * @param gotBySecond share of uses granted in each second; NaN where none were wanted
     */
    public record Result(
            long wanted,
            long got,
            int mostInWindow,
            long messages,
            long dropped,
            double[] gotBySecond) {
        public double share() {
            return wanted == 0 ? 1 : (double) got / wanted;
        }
    }

    private record Happening(double atMs, long turn, Runnable what) {}

    private final class Member {
        final int number;
        final double rate;
        long life;
        MonotonicLeaseClock clock;
        QuotaLedger ledger;
        LeaseExchange exchange;

        /** What is to be done once it is no longer paused. */
        final List<Runnable> later = new ArrayList<>();

        Member(int number) {
            this.number = number;
            this.rate = 1 + setting.drift * (2 * chance.nextDouble() - 1);
            begin();
        }

        void begin() {
            life++;
            clock = new MonotonicLeaseClock();
            read();
            var terms =
                    division.terms(
                            number,
                            setting.members,
                            setting.bound,
                            setting.windowMs,
                            setting.termMs,
                            setting.drift);
            ledger = new QuotaLedger(name(number), life, terms, clock);
            List<String> others =
                    division == QuotaStrategy.LENT
                            ? IntStream.range(0, setting.members)
                                    .filter(one -> one != number)
                                    .mapToObj(QuotaSimulation::name)
                                    .toList()
                            : division == QuotaStrategy.COORDINATED && number != 0
                                    ? List.of(name(0))
                                    : List.of();
            exchange =
                    new LeaseExchange(
                            "played",
                            terms,
                            ledger,
                            clock,
                            life,
                            others,
                            new Random(chance.nextLong()));
        }

        void read() {
            clock.read(now * rate, now * rate);
        }

        boolean is(SimulatedFault.Kind kind) {
            return setting.troubles.stream()
                    .anyMatch(
                            one -> one.kind() == kind && one.of().contains(number) && one.at(now));
        }

        /** Does it now, or after a pause; the dead do nothing. */
        void act(Runnable what) {
            if (is(SimulatedFault.Kind.PAUSED)) {
                later.add(what);
            } else if (!is(SimulatedFault.Kind.DEAD)) {
                what.run();
            }
        }
    }

    private final Setting setting;
    private final QuotaStrategy division;
    private final Random chance;
    private final List<Member> members = new ArrayList<>();
    private final PriorityQueue<Happening> next =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Happening::atMs).thenComparingLong(Happening::turn));
    private final ArrayDeque<Double> sent = new ArrayDeque<>();
    private double now;
    private long turns;
    private long messages;
    private long wanted;
    private long got;
    private long dropped;
    private int mostInWindow;
    private final long[] wantedBySecond;
    private final long[] gotBySecond;

    private QuotaSimulation(Setting setting, QuotaStrategy division, long seed) {
        this.setting = setting;
        this.division = division;
        this.chance = new Random(seed);
        int seconds = (int) Math.ceil(setting.lengthMs / 1000);
        this.wantedBySecond = new long[seconds];
        this.gotBySecond = new long[seconds];
    }

    /** Plays it; the same to the last use for the same seed. */
    public static Result play(Setting setting, QuotaStrategy division, long seed) {
        return new QuotaSimulation(setting, division, seed).play();
    }

    private static String name(int member) {
        return "g" + member;
    }

    private void at(double when, Runnable what) {
        next.add(new Happening(when, turns++, what));
    }

    private Result play() {
        for (int i = 0; i < setting.members; i++) {
            var member = new Member(i);
            members.add(member);
            // Looks are spread, as processes start at different moments.
            at(chance.nextDouble() * LeaseExchange.TICK_MS, () -> tick(member));
            at(0, () -> want(member));
        }
        for (SimulatedFault trouble : setting.troubles) {
            if (trouble.kind() == SimulatedFault.Kind.PAUSED) {
                at(
                        trouble.toMs(),
                        () ->
                                trouble.of()
                                        .forEach(
                                                one -> {
                                                    List<Runnable> late =
                                                            List.copyOf(members.get(one).later);
                                                    members.get(one).later.clear();
                                                    late.forEach(members.get(one)::act);
                                                }));
            } else if (trouble.kind() == SimulatedFault.Kind.DEAD) {
                at(trouble.toMs(), () -> trouble.of().forEach(one -> members.get(one).begin()));
            }
        }
        while (!next.isEmpty() && next.peek().atMs <= setting.lengthMs) {
            Happening one = next.poll();
            now = one.atMs;
            one.what.run();
        }
        double[] shares =
                IntStream.range(0, wantedBySecond.length)
                        .mapToDouble(
                                second ->
                                        wantedBySecond[second] == 0
                                                ? Double.NaN
                                                : (double) gotBySecond[second]
                                                        / wantedBySecond[second])
                        .toArray();
        return new Result(wanted, got, mostInWindow, messages, dropped, shares);
    }

    private void tick(Member member) {
        member.act(
                () -> {
                    member.read();
                    member.exchange.tick().forEach(out -> send(member, out));
                });
        at(now + LeaseExchange.TICK_MS, () -> tick(member));
    }

    private void send(Member from, LeaseExchange.Out out) {
        messages++;
        int to = Integer.parseInt(out.to().substring(1));
        int copies = setting.network.doubles(chance) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = setting.network.loses(chance);
            double way = setting.network.way(chance);
            double left = now;
            if (!lost) {
                at(
                        now + way,
                        () -> {
                            boolean cut =
                                    setting.troubles.stream()
                                            .anyMatch(
                                                    one ->
                                                            one.cuts(from.number, to, left)
                                                                    || one.cuts(
                                                                            from.number, to, now));
                            Member target = members.get(to);
                            if (!cut) {
                                target.act(
                                        () -> {
                                            target.read();
                                            target.exchange
                                                    .received(name(from.number), out.message())
                                                    .forEach(more -> send(target, more));
                                        });
                            }
                        });
            }
        }
    }

    /** One use is wanted, and the next drawn: arrivals by chance at the rate of this moment. */
    private void want(Member member) {
        double perSecond = setting.demand.applyAsDouble(member.number, now);
        // Looked at again within a tenth of a second, as rates change.
        double wait = perSecond <= 0 ? 100 : -Math.log(1 - chance.nextDouble()) * 1000 / perSecond;
        if (wait > 100) {
            at(now + 100, () -> want(member));
            return;
        }
        at(
                now + wait,
                () -> {
                    if (!member.is(SimulatedFault.Kind.DEAD)
                            && !member.is(SimulatedFault.Kind.PAUSED)) {
                        use(member);
                    }
                    want(member);
                });
    }

    private void use(Member member) {
        count(wantedBySecond);
        wanted++;
        member.read();
        if (division == QuotaStrategy.ALL_KNOWING) {
            if (inWindow() < setting.bound) {
                used();
            }
            return;
        }
        Permit permit = member.exchange.use(1);
        if (permit != null) {
            // Written a little later, or long after where the process is stopped in between.
            at(
                    now + chance.nextDouble(),
                    () ->
                            member.act(
                                    () -> {
                                        member.read();
                                        if (permit.holds(member.clock)) {
                                            used();
                                        } else {
                                            dropped++;
                                        }
                                    }));
        }
    }

    private int inWindow() {
        while (!sent.isEmpty() && sent.peek() <= now - setting.windowMs) {
            sent.poll();
        }
        return sent.size();
    }

    private void used() {
        got++;
        count(gotBySecond);
        sent.add(now);
        mostInWindow = Math.max(mostInWindow, inWindow());
    }

    private void count(long[] bySecond) {
        int second = (int) (now / 1000);
        if (second < bySecond.length) {
            bySecond[second]++;
        }
    }

    /**
     * Demand that a few members have and the others don't; whose it is changes every {@code
     * everyMs}.
     */
    public static ToDoubleBiFunction<Integer, Double> busyFew(
            int members, int busy, double busyPerS, double idlePerS, double everyMs) {
        return (member, now) ->
                Math.floorMod(member - (int) (now / everyMs) * busy, members) < busy
                        ? busyPerS
                        : idlePerS;
    }

    /**
     * The mean over seconds from {@code from} to before {@code to}, of those in which anything was
     * wanted.
     */
    public static double mean(double[] bySecond, int from, int to) {
        return Arrays.stream(bySecond, from, Math.min(to, bySecond.length))
                .filter(share -> !Double.isNaN(share))
                .average()
                .orElse(1);
    }
}
