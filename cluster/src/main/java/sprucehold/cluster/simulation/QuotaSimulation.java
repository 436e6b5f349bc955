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
 * Simulates a fleet that shares one limit, in simulated time. Measures how much of the wanted use
 * is granted, and the units sent in the fullest window.
 */
public final class QuotaSimulation {
    /**
     * Settings of a simulation.
     *
     * @param limit units in any window over the whole fleet
     * @param demand uses wanted per second, by member and time in milliseconds
     * @param maxClockDrift maximum deviation of a clock's rate as a share of it; each member's
     *     clock has its own deviation
     */
    public record Setting(
            int members,
            int limit,
            double windowMs,
            double leaseTermMs,
            double maxClockDrift,
            double lengthMs,
            Network network,
            List<SimulatedFault> faults,
            ToDoubleBiFunction<Integer, Double> demand) {}

    /**
     * Result of a simulation.
     *
     * @param wanted number of uses wanted while their member was up; {@code granted} of them were
     *     granted and sent
     * @param maxInWindow number of units sent in the fullest window, by true time
     * @param messages number of messages sent by all members
     * @param dropped number of uses granted but not sent, as their permit had expired
     * @param grantedShareBySecond share of wanted uses that were granted and sent, for each second;
     *     NaN where none were wanted
     */
    public record Result(
            long wanted,
            long granted,
            int maxInWindow,
            long messages,
            long dropped,
            List<Double> grantedShareBySecond) {
        /** Returns the share of wanted uses that were granted and sent. */
        public double share() {
            return wanted == 0 ? 1 : (double) granted / wanted;
        }
    }

    private final class Member {
        final int number;
        final double clockRate;
        long epoch;
        MonotonicLeaseClock clock;
        QuotaLedger ledger;
        LeaseExchange exchange;

        /** Actions to run when the pause of this member ends. */
        final List<Runnable> deferred = new ArrayList<>();

        Member(int number) {
            this.number = number;
            this.clockRate = 1 + setting.maxClockDrift * (2 * random.nextDouble() - 1);
            start();
        }

        void start() {
            epoch++;
            clock = new MonotonicLeaseClock();
            read();
            var terms =
                    strategy.terms(
                            number,
                            setting.members,
                            setting.limit,
                            setting.windowMs,
                            setting.leaseTermMs,
                            setting.maxClockDrift);
            ledger = new QuotaLedger(name(number), epoch, terms, clock);
            List<String> others =
                    strategy == QuotaStrategy.LENT
                            ? IntStream.range(0, setting.members)
                                    .filter(other -> other != number)
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

        boolean hasFault(SimulatedFault.Kind kind) {
            return setting.faults.stream()
                    .anyMatch(
                            fault ->
                                    fault.kind() == kind
                                            && fault.members().contains(number)
                                            && fault.isActiveAt(events.nowMs()));
        }

        /**
         * Runs an action now, or after the pause if the member is paused. A dead member runs no
         * actions.
         */
        void runWhenUp(Runnable action) {
            if (hasFault(SimulatedFault.Kind.PAUSED)) {
                deferred.add(action);
            } else if (!hasFault(SimulatedFault.Kind.DEAD)) {
                action.run();
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
    private long granted;
    private long dropped;
    private int maxInWindow;
    private final long[] wantedBySecond;
    private final long[] grantedBySecond;

    private QuotaSimulation(Setting setting, QuotaStrategy strategy, long seed) {
        this.setting = setting;
        this.strategy = strategy;
        this.random = new Random(seed);
        int seconds = (int) Math.ceil(setting.lengthMs / 1000);
        this.wantedBySecond = new long[seconds];
        this.grantedBySecond = new long[seconds];
    }

    /** Runs a simulation. The result is the same for the same seed. */
    public static Result run(Setting setting, QuotaStrategy strategy, long seed) {
        return new QuotaSimulation(setting, strategy, seed).run();
    }

    private static String name(int member) {
        return "g" + member;
    }

    private Result run() {
        for (int i = 0; i < setting.members; i++) {
            var member = new Member(i);
            members.add(member);
            // Ticks are spread over the interval, as processes start at different times.
            events.schedule(random.nextDouble() * LeaseExchange.TICK_MS, () -> tick(member));
            events.schedule(0, () -> scheduleNextUse(member));
        }
        for (SimulatedFault fault : setting.faults) {
            if (fault.kind() == SimulatedFault.Kind.PAUSED) {
                events.schedule(
                        fault.toMs(),
                        () ->
                                fault.members()
                                        .forEach(
                                                id -> {
                                                    List<Runnable> actions =
                                                            List.copyOf(members.get(id).deferred);
                                                    members.get(id).deferred.clear();
                                                    actions.forEach(members.get(id)::runWhenUp);
                                                }));
            } else if (fault.kind() == SimulatedFault.Kind.DEAD) {
                events.schedule(
                        fault.toMs(), () -> fault.members().forEach(id -> members.get(id).start()));
            }
        }
        events.runUntil(setting.lengthMs);
        List<Double> shares =
                IntStream.range(0, wantedBySecond.length).mapToObj(this::grantedShare).toList();
        return new Result(wanted, granted, maxInWindow, messages, dropped, shares);
    }

    private double grantedShare(int second) {
        return wantedBySecond[second] == 0
                ? Double.NaN
                : (double) grantedBySecond[second] / wantedBySecond[second];
    }

    private void tick(Member member) {
        member.runWhenUp(
                () -> {
                    member.read();
                    member.exchange.tick().forEach(out -> send(member, out));
                });
        events.schedule(events.nowMs() + LeaseExchange.TICK_MS, () -> tick(member));
    }

    private void send(Member from, LeaseExchange.Outgoing out) {
        messages++;
        int to = Integer.parseInt(out.to().substring(1));
        int copies = setting.network.isDuplicated(random) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean lost = setting.network.isLost(random);
            double delayMs = setting.network.drawDelayMs(random);
            double sentMs = events.nowMs();
            if (!lost) {
                events.schedule(
                        events.nowMs() + delayMs,
                        () -> {
                            boolean cut =
                                    setting.faults.stream()
                                            .anyMatch(
                                                    fault ->
                                                            fault.cuts(from.number, to, sentMs)
                                                                    || fault.cuts(
                                                                            from.number,
                                                                            to,
                                                                            events.nowMs()));
                            Member target = members.get(to);
                            if (!cut) {
                                target.runWhenUp(
                                        () -> {
                                            target.read();
                                            target.exchange
                                                    .receive(name(from.number), out.message())
                                                    .forEach(reply -> send(target, reply));
                                        });
                            }
                        });
            }
        }
    }

    /**
     * Schedules the next use of a member. Uses arrive at random (a Poisson process) at the rate of
     * the current time.
     */
    private void scheduleNextUse(Member member) {
        double perSecond = setting.demand.applyAsDouble(member.number, events.nowMs());
        // Draws again after at most 100 ms, as rates change.
        double waitMs =
                perSecond <= 0 ? 100 : -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
        if (waitMs > 100) {
            events.schedule(events.nowMs() + 100, () -> scheduleNextUse(member));
            return;
        }
        events.schedule(
                events.nowMs() + waitMs,
                () -> {
                    if (!member.hasFault(SimulatedFault.Kind.DEAD)
                            && !member.hasFault(SimulatedFault.Kind.PAUSED)) {
                        attemptUse(member);
                    }
                    scheduleNextUse(member);
                });
    }

    private void attemptUse(Member member) {
        count(wantedBySecond);
        wanted++;
        member.read();
        if (strategy == QuotaStrategy.ALL_KNOWING) {
            if (usesInWindow() < setting.limit) {
                recordUse();
            }
            return;
        }
        Permit permit = member.exchange.consume(1);
        if (permit != null) {
            // The use is sent a little later, or long after if the process is paused in between.
            events.schedule(
                    events.nowMs() + random.nextDouble(),
                    () ->
                            member.runWhenUp(
                                    () -> {
                                        member.read();
                                        if (permit.isValid(member.clock)) {
                                            recordUse();
                                        } else {
                                            dropped++;
                                        }
                                    }));
        }
    }

    private int usesInWindow() {
        while (!sentAtMs.isEmpty() && sentAtMs.peek() <= events.nowMs() - setting.windowMs) {
            sentAtMs.poll();
        }
        return sentAtMs.size();
    }

    private void recordUse() {
        granted++;
        count(grantedBySecond);
        sentAtMs.add(events.nowMs());
        maxInWindow = Math.max(maxInWindow, usesInWindow());
    }

    private void count(long[] bySecond) {
        int second = (int) (events.nowMs() / 1000);
        if (second < bySecond.length) {
            bySecond[second]++;
        }
    }

    /**
     * Creates a demand in which {@code busy} of the members want many uses and the others few. The
     * busy members change every {@code everyMs} milliseconds.
     */
    public static ToDoubleBiFunction<Integer, Double> busyFew(
            int members, int busy, double busyPerS, double idlePerS, double everyMs) {
        return (member, now) ->
                Math.floorMod(member - ((int) (now / everyMs)) * busy, members) < busy
                        ? busyPerS
                        : idlePerS;
    }

    /**
     * Returns the mean over the seconds from {@code from} (inclusive) to {@code to} (exclusive),
     * without seconds in which no uses were wanted.
     */
    public static double mean(List<Double> bySecond, int from, int to) {
        return bySecond.subList(from, Math.min(to, bySecond.size())).stream()
                .mapToDouble(share -> share)
                .filter(share -> !Double.isNaN(share))
                .average()
                .orElse(1);
    }
}
