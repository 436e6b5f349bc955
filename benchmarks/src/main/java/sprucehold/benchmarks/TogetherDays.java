package sprucehold.benchmarks;

import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import sprucehold.cluster.simulation.EvidenceSimulation;
import sprucehold.cluster.simulation.MembershipSimulation;
import sprucehold.cluster.simulation.Network;
import sprucehold.cluster.simulation.QuotaSimulation;
import sprucehold.cluster.simulation.QuotaStrategy;
import sprucehold.cluster.simulation.SimulatedFault;

/**
 * Simulates clusters of gatherers in virtual time. Compares membership protocols and strategies for
 * dividing a quota, by size of the cluster and kind of fault, and measures how soon failing shard
 * servers are detected. Arguments: {@code members}, {@code thousand}, {@code shares} or {@code
 * evidence}, then optionally the number of seeds; or {@code plot} and the file to write.
 */
public final class TogetherDays {
    /**
     * Median latency of 0.5 ms, one message in 100 lost and one in 1000 delivered twice, as in a
     * busy network.
     */
    private static final Network USUAL = new Network(0.5, 0.01, 0.001);

    private static final Network BAD = new Network(5, 0.1, 0.1);

    private TogetherDays() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 2 && args[0].equals("plot")) {
            Files.writeString(Path.of(args[1]), plot());
            return;
        }
        int seeds = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        if (args.length > 0 && args[0].equals("members")) {
            members(seeds);
        } else if (args.length > 0 && args[0].equals("shares")) {
            shares(seeds);
        } else if (args.length > 0 && args[0].equals("evidence")) {
            evidence(seeds);
        } else if (args.length > 0 && args[0].equals("thousand")) {
            members(Math.min(2, seeds), List.of(1000), List.of(MembershipSimulation.Way.SWIM));
        } else {
            System.err.println(
                    "together-days: members, thousand, shares or evidence, or plot and a file, was expected");
            System.exit(2);
        }
    }

    private static <T> double mean(List<T> results, ToDoubleFunction<T> figure) {
        return results.stream()
                .mapToDouble(figure)
                .filter(value -> !Double.isNaN(value))
                .average()
                .orElse(Double.NaN);
    }

    private static void members(int seeds) {
        members(seeds, List.of(10, 100, 1000), List.of(MembershipSimulation.Way.values()));
    }

    /**
     * Prints how soon gatherers detect a failing server, from their own attempts only and with the
     * evidence of other gatherers.
     */
    private static void evidence(int seeds) {
        System.out.printf(
                Locale.ROOT,
                "one of six servers fails; means over %d seeds%n%-8s %-10s %-8s %14s %12s %14s %12s %20s %10s%n",
                seeds,
                "members",
                "to each/s",
                "network",
                "alone, median",
                "alone, all",
                "told, median",
                "told, all",
                "believed for nothing",
                "letters/s");
        for (int size : List.of(5, 20, 60, 100, 1000)) {
            for (double attemptsPerSecond : List.of(0.2, 1.0)) {
                for (Network network : List.of(USUAL, BAD)) {
                    evidence(seeds, size, attemptsPerSecond, network, false);
                }
            }
            evidence(seeds, size, 1.0, USUAL, true);
        }
    }

    private static void evidence(
            int seeds, int size, double attemptsPerSecond, Network network, boolean liar) {
        if (size >= 1000 && network == BAD) {
            return;
        }
        var results = new ArrayList<EvidenceSimulation.Result>();
        for (long seed = 1; seed <= (size >= 1000 ? 1 : seeds); seed++) {
            results.add(
                    EvidenceSimulation.run(
                            new EvidenceSimulation.Setting(
                                    size,
                                    3,
                                    attemptsPerSecond,
                                    size >= 1000 ? 20_000 : 40_000,
                                    network,
                                    liar),
                            seed));
        }
        System.out.printf(
                Locale.ROOT,
                "%-8d %-10.1f %-8s %12.1f s %10.1f s %12.1f s %10.1f s %20.1f %10.1f%n",
                size,
                attemptsPerSecond,
                liar ? "a liar" : network == USUAL ? "usual" : "bad",
                mean(results, EvidenceSimulation.Result::ownMedianMs) / 1000,
                mean(results, EvidenceSimulation.Result::ownAllMs) / 1000,
                mean(results, EvidenceSimulation.Result::sharedMedianMs) / 1000,
                mean(results, EvidenceSimulation.Result::sharedAllMs) / 1000,
                mean(results, result -> result.falselySuspecting()),
                mean(results, EvidenceSimulation.Result::messagesPerSecond));
    }

    private static void members(
            int seeds, List<Integer> sizes, List<MembershipSimulation.Way> protocols) {
        System.out.printf(
                Locale.ROOT,
                "a death after 90 s of 150; means over %d seeds%n%-8s %-8s %-24s %12s %12s %16s %12s %14s%n",
                seeds,
                "members",
                "network",
                "way",
                "first knows",
                "all know",
                "falsely dead",
                "wrong then",
                "messages/s");
        for (int size : sizes) {
            for (Network network : List.of(USUAL, BAD)) {
                for (MembershipSimulation.Way protocol : protocols) {
                    // One protocol sends heartbeats from all members to all, the other gossips
                    // whole tables. With 1000 members that is millions of messages a second, and a
                    // simulation takes minutes, so it is shorter and runs with one seed.
                    boolean expensive =
                            size >= 1000
                                    && (protocol == MembershipSimulation.Way.HEARTBEATS_TO_ALL
                                            || protocol == MembershipSimulation.Way.PHI_GOSSIP);
                    int runs = expensive ? 1 : size >= 1000 ? Math.min(2, seeds) : seeds;
                    double lengthMs = expensive ? 30_000 : 150_000;
                    double deathMs = expensive ? 15_000 : 90_000;
                    var results = new ArrayList<MembershipSimulation.Result>();
                    for (long seed = 1; seed <= runs; seed++) {
                        results.add(
                                MembershipSimulation.run(
                                        new MembershipSimulation.Setting(
                                                size,
                                                lengthMs,
                                                network,
                                                List.of(
                                                        new SimulatedFault(
                                                                SimulatedFault.Kind.DEAD,
                                                                Set.of(size / 2),
                                                                deathMs,
                                                                1e9))),
                                        protocol,
                                        seed));
                    }
                    System.out.printf(
                            Locale.ROOT,
                            "%-8d %-8s %-24s %10.1f s %10.1f s %16.1f %12.1f %14.1f%n",
                            size,
                            network == USUAL ? "usual" : "bad",
                            protocol.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                            mean(results, MembershipSimulation.Result::firstMs) / 1000,
                            mean(results, MembershipSimulation.Result::allMs) / 1000,
                            mean(results, result -> result.falselyDead()),
                            mean(results, result -> result.wrongAtEnd()),
                            mean(results, MembershipSimulation.Result::messages));
                }
            }
        }
    }

    private record Day(String name, Network network, List<SimulatedFault> faults) {}

    private static List<Day> days(int members) {
        Set<Integer> fifth =
                Set.copyOf(IntStream.range(0, Math.max(1, members / 5)).boxed().toList());
        Set<Integer> half = Set.copyOf(IntStream.range(0, members / 2).boxed().toList());
        return List.of(
                new Day("none", USUAL, List.of()),
                new Day("a bad network", BAD, List.of()),
                new Day(
                        "a fifth deaf",
                        USUAL,
                        List.of(
                                new SimulatedFault(
                                        SimulatedFault.Kind.DEAF, fifth, 10_000, 25_000))),
                new Day(
                        "cut in two",
                        USUAL,
                        List.of(
                                new SimulatedFault(
                                        SimulatedFault.Kind.CUT_OFF, half, 10_000, 25_000))),
                new Day(
                        "a fifth paused 6 s",
                        USUAL,
                        List.of(
                                new SimulatedFault(
                                        SimulatedFault.Kind.PAUSED, fifth, 10_000, 16_000))),
                new Day(
                        "half killed",
                        USUAL,
                        List.of(
                                new SimulatedFault(
                                        SimulatedFault.Kind.DEAD, half, 10_000, 11_000))));
    }

    private static void shares(int seeds) {
        System.out.printf(
                Locale.ROOT,
                "a tenth of members busy, others every 10 s; bound 10 a member and second; 30 s, the first 6 "
                        + "not counted; means over %d seeds%n%-8s %-20s %-14s %8s %16s %12s %12s%n",
                seeds,
                "members",
                "trouble",
                "division",
                "granted",
                "fullest window",
                "messages/s",
                "dropped");
        for (int size : List.of(5, 20, 60, 100, 1000)) {
            for (Day day : days(size)) {
                for (QuotaStrategy strategy : QuotaStrategy.values()) {
                    int runs = size >= 1000 ? 1 : seeds;
                    var results = new ArrayList<QuotaSimulation.Result>();
                    int bound = 10 * size;
                    for (long seed = 1; seed <= runs; seed++) {
                        results.add(
                                QuotaSimulation.run(
                                        new QuotaSimulation.Setting(
                                                size,
                                                bound,
                                                1000,
                                                4000,
                                                0.002,
                                                30_000,
                                                day.network,
                                                day.faults,
                                                QuotaSimulation.busyFew(
                                                        size,
                                                        Math.max(1, size / 10),
                                                        60,
                                                        1,
                                                        10_000)),
                                        strategy,
                                        seed));
                    }
                    System.out.printf(
                            Locale.ROOT,
                            "%-8d %-20s %-14s %7.1f%% %9d of %-5d %10.1f %12.1f%n",
                            size,
                            day.name,
                            strategy.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                            100
                                    * mean(
                                            results,
                                            result ->
                                                    QuotaSimulation.mean(
                                                            result.grantedShareBySecond(), 6, 30)),
                            results.stream()
                                    .mapToInt(QuotaSimulation.Result::maxInWindow)
                                    .max()
                                    .orElse(0),
                            bound,
                            mean(results, result -> result.messages() / (double) size / 30),
                            mean(results, result -> result.dropped()));
                }
            }
        }
    }

    /** Plots what each strategy grants per second while a cluster of 20 is cut in two. */
    private static String plot() {
        var all = new XYSeriesCollection();
        Day day = days(20).get(3);
        for (QuotaStrategy strategy : QuotaStrategy.values()) {
            var series = new XYSeries(strategy.name().toLowerCase(Locale.ROOT).replace('_', ' '));
            var results = new ArrayList<QuotaSimulation.Result>();
            for (long seed = 1; seed <= 10; seed++) {
                results.add(
                        QuotaSimulation.run(
                                new QuotaSimulation.Setting(
                                        20,
                                        200,
                                        1000,
                                        4000,
                                        0.002,
                                        30_000,
                                        day.network,
                                        day.faults,
                                        QuotaSimulation.busyFew(20, 2, 60, 1, 10_000)),
                                strategy,
                                seed));
            }
            for (int second = 0; second < 30; second++) {
                int at = second;
                series.add(
                        second + 0.5,
                        100 * mean(results, result -> result.grantedShareBySecond().get(at)));
            }
            all.addSeries(series);
        }
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        "20 members, two of them busy, others every 10 s; cut in two from 10 to 25 s",
                        "s",
                        "% granted",
                        all,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        var svg = new SVGGraphics2D(900, 360);
        chart.draw(svg, new Rectangle2D.Double(0, 0, 900, 360));
        return svg.getSVGElement();
    }
}
