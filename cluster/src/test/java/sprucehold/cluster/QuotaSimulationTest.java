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
 * Fleets that share one bound: never beyond it in whatever trouble, and with something gained where
 * nothing is wrong.
 */
public class QuotaSimulationTest {
    private static final Network BAD = new Network(5, 0.1, 0.1);

    private static QuotaSimulation.Setting setting(
            int members, Network network, SimulatedFault... troubles) {
        return new QuotaSimulation.Setting(
                members,
                10 * members,
                1000,
                4000,
                0.002,
                20_000,
                network,
                List.of(troubles),
                QuotaSimulation.busyFew(members, Math.max(1, members / 10), 60, 1, 5000));
    }

    private static SimulatedFault trouble(
            SimulatedFault.Kind kind, double fromMs, double toMs, Integer... of) {
        return new SimulatedFault(kind, Set.of(of), fromMs, toMs);
    }

    @DataProvider
    Object[][] troubles() {
        return new Object[][] {
            {"none", setting(20, Network.SOUND)},
            {"a network that loses, doubles and delays", setting(20, BAD)},
            {
                "a few deaf for a term",
                setting(20, BAD, trouble(SimulatedFault.Kind.DEAF, 6000, 10_000, 0, 1, 2, 3))
            },
            {
                "a few mute for a term",
                setting(20, BAD, trouble(SimulatedFault.Kind.MUTE, 6000, 10_000, 0, 1, 2, 3))
            },
            {
                "cut in two",
                setting(
                        20,
                        BAD,
                        trouble(SimulatedFault.Kind.CUT_OFF, 6000, 14_000, 0, 1, 2, 3, 4, 5, 6, 7))
            },
            {
                "all alone",
                setting(4, BAD, trouble(SimulatedFault.Kind.ALONE, 6000, 14_000, 0, 1, 2, 3))
            },
            {
                "paused over the end of a loan",
                setting(
                        20,
                        BAD,
                        trouble(SimulatedFault.Kind.PAUSED, 6000, 12_000, 0, 1, 2, 3, 4, 5))
            },
            {
                "half killed",
                setting(10, BAD, trouble(SimulatedFault.Kind.DEAD, 6000, 7000, 0, 1, 2, 3, 4))
            },
            {
                "all killed",
                setting(4, BAD, trouble(SimulatedFault.Kind.DEAD, 6000, 6500, 0, 1, 2, 3))
            },
        };
    }

    @Test(dataProvider = "troubles")
    public void noWindowExceedsTheLimit(String what, QuotaSimulation.Setting setting) {
        for (long seed = 1; seed <= 5; seed++) {
            for (QuotaStrategy division :
                    List.of(QuotaStrategy.EQUAL, QuotaStrategy.LENT, QuotaStrategy.COORDINATED)) {
                var result = QuotaSimulation.play(setting, division, seed);
                assertTrue(
                        result.mostInWindow() <= setting.limit(),
                        what
                                + ", "
                                + division
                                + ", seed "
                                + seed
                                + ": "
                                + result.mostInWindow()
                                + " of "
                                + setting.limit());
                assertTrue(
                        result.got() > 100,
                        what + ", " + division + ": too little was used to prove anything");
            }
        }
    }

    @Test
    public void randomFaultsNeverBreakTheLimit() {
        List<SimulatedFault.Kind> kinds = List.of(SimulatedFault.Kind.values());
        for (long seed = 1; seed <= 60; seed++) {
            var random = new Random(seed);
            var troubles = new SimulatedFault[1 + random.nextInt(5)];
            for (int i = 0; i < troubles.length; i++) {
                var of = new TreeSet<Integer>();
                for (int j = 0; j < 1 + random.nextInt(5); j++) {
                    of.add(random.nextInt(10));
                }
                double from = 1000 + random.nextDouble() * 14_000;
                troubles[i] =
                        new SimulatedFault(
                                kinds.get(random.nextInt(kinds.size())),
                                of,
                                from,
                                from + random.nextDouble() * 6000);
            }
            QuotaSimulation.Setting setting = setting(10, BAD, troubles);
            var result = QuotaSimulation.play(setting, QuotaStrategy.LENT, seed);
            assertTrue(
                    result.mostInWindow() <= setting.limit(),
                    "seed "
                            + seed
                            + ": "
                            + result.mostInWindow()
                            + " of "
                            + setting.limit()
                            + " in "
                            + List.of(troubles));
        }
    }

    @Test
    public void busyOnesAreHelpedWithinTwoSecondsAndBeyondWhatIsEqual() {
        QuotaSimulation.Setting setting = setting(20, Network.SOUND);
        var equal = QuotaSimulation.play(setting, QuotaStrategy.EQUAL, 1);
        var lent = QuotaSimulation.play(setting, QuotaStrategy.LENT, 1);
        var most = QuotaSimulation.play(setting, QuotaStrategy.ALL_KNOWING, 1);
        assertTrue(most.share() > 0.99, "the bound suffices for all: " + most.share());
        assertTrue(equal.share() < 0.4, "equal shares don't: " + equal.share());
        // After the quarantine of a first life; whose turn it is changes at 10 and 15 s.
        for (int turn : List.of(10, 15)) {
            double helped = QuotaSimulation.mean(lent.gotBySecond(), turn + 2, turn + 5);
            assertTrue(helped > 0.9, "two seconds after " + turn + " s: " + helped);
        }
    }

    @Test
    public void aDeafMemberHasItsOwnUnitsAndTheOthersGoOn() {
        QuotaSimulation.Setting setting =
                setting(
                        4,
                        Network.SOUND,
                        trouble(SimulatedFault.Kind.ALONE, 6000, 20_000, 0, 1, 2, 3));
        var lent = QuotaSimulation.play(setting, QuotaStrategy.LENT, 1);
        var equal = QuotaSimulation.play(setting, QuotaStrategy.EQUAL, 1);
        // From a term after the cut on each has what it would have without any talk.
        assertEquals(
                QuotaSimulation.mean(lent.gotBySecond(), 13, 20),
                QuotaSimulation.mean(equal.gotBySecond(), 13, 20),
                0.03);
    }

    @Test
    public void theSameSeedGivesTheSameFleet() {
        QuotaSimulation.Setting setting =
                setting(10, BAD, trouble(SimulatedFault.Kind.PAUSED, 6000, 9000, 0, 3));
        assertEquals(
                QuotaSimulation.play(setting, QuotaStrategy.LENT, 9),
                QuotaSimulation.play(setting, QuotaStrategy.LENT, 9));
    }

    @Test
    public void messagesStayFewWhateverTheSize() {
        for (int members : List.of(10, 100)) {
            QuotaSimulation.Setting setting = setting(members, Network.SOUND);
            double perMemberAndSecond =
                    QuotaSimulation.play(setting, QuotaStrategy.LENT, 1).messages()
                            / (double) members
                            / 20;
            assertTrue(perMemberAndSecond < 20, members + " members: " + perMemberAndSecond);
        }
    }
}
