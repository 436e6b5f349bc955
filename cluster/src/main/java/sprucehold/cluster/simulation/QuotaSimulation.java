package sprucehold.cluster.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
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
     * @param limit units in any window over the whole fleet
     * @param demand uses wanted a second, by member and time in milliseconds
     * @param drift clocks run fast or slow by up to this share, each by its own
     */
    public record Setting(
            int members,
            int limit,
            double windowMs,
            double termMs,
            double drift,
            double lengthMs,
            Network network,
            List<SimulatedFault> faults,
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
            List<Double> gotBySecond) {
        /** The share of wanted uses that were granted. */
        public double share() {
            return wanted == 0 ? 1 : (double) got / wanted;
        }
    }

    private final class Member {
        final int number;
        final double clockRate;
        long epoch;
        MonotonicLeaseClock clock;
        QuotaLedger ledger;
        LeaseExchange exchange;

        /** What is to be done once it is no longer paused. */
        final List<Runnable> later = new ArrayList<>();

        Member(int number) {
            this.number = number;
            this.clockRate = 1 + setting.drift * (2 * random.nextDouble() - 1);
            begin();
        }

        void begin() {
            epoch++;
            clock = new MonotonicLeaseClock();
            read();
            var terms =
                    strategy.terms(
                            number,
                            setting.members,
                            setting.limit,
                            setting.windowMs,
                            setting.termMs,
                            setting.drift);
            ledger = new QuotaLedger(name(number), epoch, terms, clock);
            List<String> others =
                    strategy == QuotaStrategy.LENT
                            ? IntStream.range(0, setting.members)
                                    .filter(one -> one != number)
                                    .mapToObj(QuotaSimulation::name)
                                    .toList()
                            : strategy == QuotaStrategy.COORDINATED && number != 0
                                    ? List.of(name(0))
                                    : List.of();
            exchange =
                    new LeaseExchange(
                            "played",
                            terms,
                            ledger,
                            clock,
                            epoch,
                            others,
                            new Random(random.nextLong()));
        }

        void read() {
            clock.read(events.nowMs() * clockRate, events.nowMs() * clockRate);
        }

        boolean is(SimulatedFault.Kind kind) {
            return setting.faults.stream()
                    .anyMatch(
                            one ->
                                    one.kind() == kind
                                            && one.members().contains(number)
                                            && one.isActiveAt(events.nowMs()));
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
    private final QuotaStrategy strategy;
    private final Random random;
    private final List<Member> members = new ArrayList<>();
    private final EventQueue events = new EventQueue();
    private final ArrayDeque<Double> sentAtMs = new ArrayDeque<>();
    private long messages;
    private long wanted;
    private long got;
    private long dropped;
    private int mostInWindow;
    private final long[] wantedBySecond;
    private final long[] gotBySecond;

    private QuotaSimulation(Setting setting, QuotaStrategy strategy, long seed) {
        this.setting = setting;
        this.strategy = strategy;
        this.random = new Random(seed);
        int seconds = (int) Math.ceil(setting.lengthMs / 1000);
        this.wantedBySecond = new long[seconds];
        this.gotBySecond = new long[seconds];
    }

    /** Plays it; the same to the last use for the same seed. */
    public static Result play(Setting setting, QuotaStrategy strategy, long seed) {
        return new QuotaSimulation(setting, strategy, seed).play();
    }

    private static String name(int member) {
        return "g" + member;
    }

    private Result play() {
        for (int i = 0; i < setting.members; i++) {
            var member = new Member(i);
            members.add(member);
            // Looks are spread, as processes start at different moments.
            events.schedule(random.nextDouble() * LeaseExchange.TICK_MS, () -> tick(member));
            events.schedule(0, () -> want(member));
        }
        for (SimulatedFault fault : setting.faults) {
            if (fault.kind() == SimulatedFault.Kind.PAUSED) {
                events.schedule(
                        fault.toMs(),
                        () ->
                                fault.members()
                                        .forEach(
                                                one -> {
                                                    List<Runnable> late =
                                                            List.copyOf(members.get(one).later);
                                                    members.get(one).later.clear();
                                                    late.forEach(members.get(one)::act);
                                                }));
            } else if (fault.kind() == SimulatedFault.Kind.DEAD) {
                events.schedule(
                        fault.toMs(),
                        () -> fault.members().forEach(one -> members.get(one).begin()));
            }
        }
        events.runUntil(setting.lengthMs);
        List<Double> shares =
                IntStream.range(0, wantedBySecond.length).mapToObj(this::gotShare).toList();
        return new Result(wanted, got, mostInWindow, messages, dropped, shares);
    }

    private double gotShare(int second) {
        return wantedBySecond[second] == 0
                ? Double.NaN
                : (double) gotBySecond[second] / wantedBySecond[second];
    }

    private void tick(Member member) {
        member.act(
                () -> {
                    member.read();
                    member.exchange.tick().forEach(out -> send(member, out));
                });
        events.schedule(events.nowMs() + LeaseExchange.TICK_MS, () -> tick(member));
    }

    private void send(Member from, LeaseExchange.Outgoing out) {
        messages++;
        int to = Integer.parseInt(out.to().substring(1));
        int copies = setting.network.doubles(random) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = setting.network.loses(random);
            double way = setting.network.way(random);
            double left = events.nowMs();
            if (!lost) {
                events.schedule(
                        events.nowMs() + way,
                        () -> {
                            boolean cut =
                                    setting.faults.stream()
                                            .anyMatch(
                                                    one ->
                                                            one.cuts(from.number, to, left)
                                                                    || one.cuts(
                                                                            from.number,
                                                                            to,
                                                                            events.nowMs()));
                            Member target = members.get(to);
                            if (!cut) {
                                target.act(
                                        () -> {
                                            target.read();
                                            target.exchange
                                                    .receive(name(from.number), out.message())
                                                    .forEach(more -> send(target, more));
                                        });
                            }
                        });
            }
        }
    }

    /** One use is wanted, and the next drawn: arrivals by chance at the rate of this moment. */
    private void want(Member member) {
        double perSecond = setting.demand.applyAsDouble(member.number, events.nowMs());
        // Looked at again within a tenth of a second, as rates change.
        double wait = perSecond <= 0 ? 100 : -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        if (wait > 100) {
            events.schedule(events.nowMs() + 100, () -> want(member));
            return;
        }
        events.schedule(
                events.nowMs() + wait,
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
        if (strategy == QuotaStrategy.ALL_KNOWING) {
            if (inWindow() < setting.limit) {
                used();
            }
            return;
        }
        Permit permit = member.exchange.consume(1);
        if (permit != null) {
            // Written a little later, or long after where the process is stopped in between.
            events.schedule(
                    events.nowMs() + random.nextDouble(),
                    () ->
                            member.act(
                                    () -> {
                                        member.read();
                                        if (permit.isValid(member.clock)) {
                                            used();
                                        } else {
                                            dropped++;
                                        }
                                    }));
        }
    }

    private int inWindow() {
        while (!sentAtMs.isEmpty() && sentAtMs.peek() <= events.nowMs() - setting.windowMs) {
            sentAtMs.poll();
        }
        return sentAtMs.size();
    }

    private void used() {
        got++;
        count(gotBySecond);
        sentAtMs.add(events.nowMs());
        mostInWindow = Math.max(mostInWindow, inWindow());
    }

    private void count(long[] bySecond) {
        int second = (int) (events.nowMs() / 1000);
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
                Math.floorMod(member - ((int) (now / everyMs)) * busy, members) < busy
                        ? busyPerS
                        : idlePerS;
    }

    /**
     * The mean over seconds from {@code from} to before {@code to}, of those in which anything was
     * wanted.
     */
    public static double mean(List<Double> bySecond, int from, int to) {
        return bySecond.subList(from, Math.min(to, bySecond.size())).stream()
                .mapToDouble(share -> share)
                .filter(share -> !Double.isNaN(share))
                .average()
                .orElse(1);
    }
}
