package sprucehold.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.simulation.Network;
import sprucehold.cluster.simulation.QuotaSimulation;
import sprucehold.cluster.simulation.QuotaStrategy;
import sprucehold.cluster.simulation.SimulatedFault;

/**
 * Simulates fleets that share one limit. Tests that no fault leads to more uses than the limit in
 * any window, and that lending grants more uses than equal parts where there are no faults.
 */
public class QuotaSimulationTest {
    private static final Network BAD = new Network(5, 0.1, 0.1);

    private static QuotaSimulation.Setting setting(
            int members, Network network, SimulatedFault... faults) {
        return new QuotaSimulation.Setting(
                members,
                10 * members,
                1000,
                4000,
                0.002,
                20_000,
                network,
                List.of(faults),
                QuotaSimulation.busyFew(members, Math.max(1, members / 10), 60, 1, 5000));
    }

    private static SimulatedFault fault(
            SimulatedFault.Kind kind, double fromMs, double toMs, Integer... members) {
        return new SimulatedFault(kind, Set.of(members), fromMs, toMs);
    }

    @DataProvider
    Object[][] faultCases() {
        return new Object[][] {
            {"none", setting(20, Network.FAULTLESS)},
            {"a network that loses, duplicates and delays", setting(20, BAD)},
            {
                "a few deaf for a lease term",
                setting(20, BAD, fault(SimulatedFault.Kind.DEAF, 6000, 10_000, 0, 1, 2, 3))
            },
            {
                "a few mute for a lease term",
                setting(20, BAD, fault(SimulatedFault.Kind.MUTE, 6000, 10_000, 0, 1, 2, 3))
            },
            {
                "cut in two",
                setting(
                        20,
                        BAD,
                        fault(SimulatedFault.Kind.CUT_OFF, 6000, 14_000, 0, 1, 2, 3, 4, 5, 6, 7))
            },
            {
                "each member cut off",
                setting(4, BAD, fault(SimulatedFault.Kind.ALONE, 6000, 14_000, 0, 1, 2, 3))
            },
            {
                "paused over the end of a lease",
                setting(20, BAD, fault(SimulatedFault.Kind.PAUSED, 6000, 12_000, 0, 1, 2, 3, 4, 5))
            },
            {
                "half killed",
                setting(10, BAD, fault(SimulatedFault.Kind.DEAD, 6000, 7000, 0, 1, 2, 3, 4))
            },
            {
                "all killed",
                setting(4, BAD, fault(SimulatedFault.Kind.DEAD, 6000, 6500, 0, 1, 2, 3))
            },
        };
    }

    @Test(dataProvider = "faultCases")
    public void noWindowExceedsTheLimit(String name, QuotaSimulation.Setting setting) {
        for (long seed = 1; seed <= 5; seed++) {
            for (QuotaStrategy strategy :
                    List.of(QuotaStrategy.EQUAL, QuotaStrategy.LENT, QuotaStrategy.COORDINATED)) {
                var result = QuotaSimulation.run(setting, strategy, seed);
                assertTrue(
                        result.maxInWindow() <= setting.limit(),
                        name
                                + ", "
                                + strategy
                                + ", seed "
                                + seed
                                + ": "
                                + result.maxInWindow()
                                + " of "
                                + setting.limit());
                assertTrue(
                        result.granted() > 100,
                        name + ", " + strategy + ": too little was used to prove anything");
            }
        }
    }

    @Test
    public void randomFaultsNeverBreakTheLimit() {
        List<SimulatedFault.Kind> kinds = List.of(SimulatedFault.Kind.values());
        for (long seed = 1; seed <= 60; seed++) {
            var random = new Random(seed);
            var faults = new SimulatedFault[1 + random.nextInt(5)];
            for (int i = 0; i < faults.length; i++) {
                var members = new TreeSet<Integer>();
                for (int j = 0; j < 1 + random.nextInt(5); j++) {
                    members.add(random.nextInt(10));
                }
                double from = 1000 + random.nextDouble() * 14_000;
                faults[i] =
                        new SimulatedFault(
                                kinds.get(random.nextInt(kinds.size())),
                                members,
                                from,
                                from + random.nextDouble() * 6000);
            }
            QuotaSimulation.Setting setting = setting(10, BAD, faults);
            var result = QuotaSimulation.run(setting, QuotaStrategy.LENT, seed);
            assertTrue(
                    result.maxInWindow() <= setting.limit(),
                    "seed "
                            + seed
                            + ": "
                            + result.maxInWindow()
                            + " of "
                            + setting.limit()
                            + " in "
                            + List.of(faults));
        }
    }

    @Test
    public void lendingCoversTheDemandOfBusyMembersWithinTwoSeconds() {
        QuotaSimulation.Setting setting = setting(20, Network.FAULTLESS);
        var equal = QuotaSimulation.run(setting, QuotaStrategy.EQUAL, 1);
        var lent = QuotaSimulation.run(setting, QuotaStrategy.LENT, 1);
        var ideal = QuotaSimulation.run(setting, QuotaStrategy.ALL_KNOWING, 1);
        assertTrue(ideal.share() > 0.99, "the limit suffices for all: " + ideal.share());
        assertTrue(equal.share() < 0.4, "equal parts don't suffice: " + equal.share());
        // Skips the first seconds, in which the units that an earlier epoch may have lent are
        // blocked. The busy members change at 10 and 15 s.
        for (int changeAtS : List.of(10, 15)) {
            double granted =
                    QuotaSimulation.mean(lent.grantedShareBySecond(), changeAtS + 2, changeAtS + 5);
            assertTrue(
                    granted > 0.9,
                    "share granted two seconds after " + changeAtS + " s: " + granted);
        }
    }

    @Test
    public void isolatedMembersGetAsMuchAsWithEqualParts() {
        QuotaSimulation.Setting setting =
                setting(
                        4,
                        Network.FAULTLESS,
                        fault(SimulatedFault.Kind.ALONE, 6000, 20_000, 0, 1, 2, 3));
        var lent = QuotaSimulation.run(setting, QuotaStrategy.LENT, 1);
        var equal = QuotaSimulation.run(setting, QuotaStrategy.EQUAL, 1);
        // From one lease term after the cut, each member has what it would have without
        // coordination.
        assertEquals(
                QuotaSimulation.mean(lent.grantedShareBySecond(), 13, 20),
                QuotaSimulation.mean(equal.grantedShareBySecond(), 13, 20),
                0.03);
    }

    @Test
    public void runsWithTheSameSeedHaveTheSameResult() {
        QuotaSimulation.Setting setting =
                setting(10, BAD, fault(SimulatedFault.Kind.PAUSED, 6000, 9000, 0, 3));
        assertEquals(
                QuotaSimulation.run(setting, QuotaStrategy.LENT, 9),
                QuotaSimulation.run(setting, QuotaStrategy.LENT, 9));
    }

    @Test
    public void messagesPerMemberStayBelow20PerSecondForAnyFleetSize() {
        for (int members : List.of(10, 100)) {
            QuotaSimulation.Setting setting = setting(members, Network.FAULTLESS);
            double perMemberAndSecond =
                    QuotaSimulation.run(setting, QuotaStrategy.LENT, 1).messages()
                            / (double) members
                            / 20;
            assertTrue(perMemberAndSecond < 20, members + " members: " + perMemberAndSecond);
        }
    }
}
