package sprucehold.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.membership.FailureDetector;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.membership.Membership;
import sprucehold.cluster.simulation.MembershipSimulation;
import sprucehold.cluster.simulation.Network;
import sprucehold.cluster.simulation.SimulatedFault;

/**
 * Tests of the membership: a single member with messages made by the test, and fleets in simulated
 * time.
 */
public class MembershipTest {
    private static final Network BAD = new Network(5, 0.05, 0.05);

    private static Membership member(String name, long generation) {
        return new Membership(
                name, "a", generation, Map.of("a", "a", "b", "a", "c", "a"), new Random(1));
    }

    private static MemberUpdate update(
            String name, long generation, int incarnation, MemberUpdate.State state) {
        return new MemberUpdate(name, "a", generation, incarnation, state);
    }

    private static MemberUpdate updateOf(Membership member, String name) {
        return member.members().stream()
                .filter(update -> update.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static void receive(Membership member, MemberUpdate... updates) {
        member.receive(0, "c", new MemberMessage.MemberTable(false, List.of(updates)));
    }

    @Test
    public void membersWithTheSameUpdatesInAnyOrderAgree() {
        List<MemberUpdate> all =
                List.of(
                        update("b", 5, 0, MemberUpdate.State.ALIVE),
                        update("b", 5, 0, MemberUpdate.State.SUSPECT),
                        update("b", 5, 1, MemberUpdate.State.ALIVE),
                        update("b", 5, 1, MemberUpdate.State.DEAD),
                        update("b", 6, 0, MemberUpdate.State.ALIVE),
                        update("b", 6, 0, MemberUpdate.State.SUSPECT),
                        update("b", 4, 9, MemberUpdate.State.LEFT));
        for (long seed = 0; seed < 200; seed++) {
            var order = new ArrayList<>(all);
            order.addAll(all.subList(0, (int) (seed % all.size())));
            Collections.shuffle(order, new Random(seed));
            var member = member("a", 1);
            order.forEach(update -> receive(member, update));
            assertEquals(
                    updateOf(member, "b"),
                    update("b", 6, 0, MemberUpdate.State.SUSPECT),
                    "order " + order);
        }
    }

    @DataProvider
    Object[][] updatesAboutSelf() {
        return new Object[][] {
            {
                "suspected",
                update("a", 7, 0, MemberUpdate.State.SUSPECT),
                update("a", 7, 1, MemberUpdate.State.ALIVE),
                false
            },
            {
                "considered dead at a higher incarnation",
                update("a", 7, 4, MemberUpdate.State.DEAD),
                update("a", 7, 5, MemberUpdate.State.ALIVE),
                false
            },
            {
                "an earlier generation is dead",
                update("a", 3, 9, MemberUpdate.State.DEAD),
                update("a", 7, 0, MemberUpdate.State.ALIVE),
                false
            },
            {
                "a later generation is dead: the clock was set back",
                update("a", 9, 2, MemberUpdate.State.DEAD),
                update("a", 10, 0, MemberUpdate.State.ALIVE),
                false
            },
            {
                "a later generation left",
                update("a", 9, 2, MemberUpdate.State.LEFT),
                update("a", 10, 0, MemberUpdate.State.ALIVE),
                false
            },
            {
                "a later generation is alive: two processes of one name",
                update("a", 9, 0, MemberUpdate.State.ALIVE),
                update("a", 7, 0, MemberUpdate.State.ALIVE),
                true
            },
            {
                "its own update comes back",
                update("a", 7, 0, MemberUpdate.State.ALIVE),
                update("a", 7, 0, MemberUpdate.State.ALIVE),
                false
            },
        };
    }

    @Test(dataProvider = "updatesAboutSelf")
    public void receivedUpdateAboutSelfIsRefutedOrSupersedesSelf(
            String name, MemberUpdate received, MemberUpdate expected, boolean superseded) {
        var member = member("a", 7);
        receive(member, received);
        assertEquals(member.members().get(0), expected, name);
        assertEquals(member.superseded(), superseded, name);
    }

    @Test
    public void supersededMemberSendsNoAckUntilTheOtherProcessIsDead() {
        var member = member("a", 7);
        receive(member, update("a", 9, 0, MemberUpdate.State.ALIVE));
        List<FailureDetector.Outgoing> out =
                member.receive(10, "b", new MemberMessage.Ping(1, List.of()));
        assertTrue(
                out.stream().noneMatch(sent -> sent.message() instanceof MemberMessage.Ack),
                out.toString());
        receive(member, update("a", 9, 0, MemberUpdate.State.DEAD));
        assertFalse(member.superseded());
        out = member.receive(10, "b", new MemberMessage.Ping(2, List.of()));
        assertTrue(
                out.stream().anyMatch(sent -> sent.message() instanceof MemberMessage.Ack),
                out.toString());
    }

    @Test
    public void pausedMemberSuspectsNoOtherMember() {
        var member = member("a", 7);
        receive(
                member,
                update("b", 1, 0, MemberUpdate.State.ALIVE),
                update("c", 1, 0, MemberUpdate.State.ALIVE));
        for (double now = 0; now <= 800; now += 200) {
            member.tick(now);
        }
        // Paused for ten seconds, with a probe pending.
        member.tick(11_000);
        assertEquals(member.localHealth(), 8);
        assertEquals(member.alive(), Set.of("b", "c"));
        assertTrue(
                member.members().stream()
                        .allMatch(update -> update.state() == MemberUpdate.State.ALIVE),
                member.members().toString());
    }

    @Test
    public void isolatedMemberDeclaresNoOtherMemberDead() {
        var member = new Membership("a", "a", 7, Map.of(), new Random(1));
        for (int i = 0; i < 20; i++) {
            receive(member, update("g" + i, 1, 0, MemberUpdate.State.ALIVE));
        }
        for (double now = 0; now <= 600_000; now += 200) {
            member.tick(now);
        }
        assertTrue(member.isolated());
        long notAlive =
                member.members().stream()
                        .filter(update -> update.state() != MemberUpdate.State.ALIVE)
                        .count();
        assertTrue(notAlive <= 2, member.members().toString());
        assertTrue(
                member.members().stream()
                        .noneMatch(update -> update.state() == MemberUpdate.State.DEAD),
                member.members().toString());
    }

    @Test
    public void messagesFitIntoADatagramForAnyNumberOfUpdates() {
        var member = member("a", 7);
        for (int i = 0; i < 500; i++) {
            receive(member, update("g" + i, 1, 0, MemberUpdate.State.ALIVE));
        }
        for (double now = 0; now <= 60_000; now += 200) {
            for (FailureDetector.Outgoing out : member.tick(now)) {
                assertTrue(out.message().updates().size() <= 12, out.toString());
            }
        }
    }

    private static SimulatedFault fault(
            SimulatedFault.Kind kind, double fromMs, double toMs, Integer... members) {
        return new SimulatedFault(kind, Set.of(members), fromMs, toMs);
    }

    private static MembershipSimulation.Setting setting(
            int members, double lengthMs, Network network, SimulatedFault... faults) {
        return new MembershipSimulation.Setting(members, lengthMs, network, List.of(faults));
    }

    @DataProvider
    Object[][] fleets() {
        double never = 1e9;
        return new Object[][] {
            {"no faults", setting(30, 90_000, Network.FAULTLESS), 0},
            {"no faults, three members", setting(3, 90_000, Network.FAULTLESS), 0},
            {"a lossy network", setting(30, 90_000, BAD), 0},
            {
                "a death",
                setting(30, 120_000, BAD, fault(SimulatedFault.Kind.DEAD, 60_000, never, 4)),
                0
            },
            {
                "a restart under the same name",
                setting(30, 180_000, BAD, fault(SimulatedFault.Kind.DEAD, 60_000, 62_000, 4)),
                0
            },
            {
                "a pause of ten seconds",
                setting(30, 180_000, BAD, fault(SimulatedFault.Kind.PAUSED, 60_000, 70_000, 4, 5)),
                0
            },
            {
                "deaf for a while",
                setting(30, 240_000, BAD, fault(SimulatedFault.Kind.DEAF, 60_000, 100_000, 4)),
                0
            },
            {
                "mute for a while",
                setting(30, 240_000, BAD, fault(SimulatedFault.Kind.MUTE, 60_000, 100_000, 4)),
                0
            },
            {
                "cut in two and healed",
                setting(
                        20,
                        300_000,
                        BAD,
                        fault(SimulatedFault.Kind.CUT_OFF, 60_000, 120_000, 0, 1, 2, 3, 4, 5, 6)),
                0
            },
            {
                "each member cut off and healed",
                setting(
                        6,
                        300_000,
                        BAD,
                        fault(SimulatedFault.Kind.ALONE, 60_000, 120_000, 0, 1, 2, 3, 4, 5)),
                0
            },
        };
    }

    @Test(dataProvider = "fleets")
    public void finalViewsAreCorrectAndNoHealthyMemberIsDeclaredDead(
            String name, MembershipSimulation.Setting setting, int falselyDead) {
        for (long seed = 1; seed <= 3; seed++) {
            var result = MembershipSimulation.run(setting, MembershipSimulation.Way.SWIM, seed);
            assertEquals(result.wrongAtEnd(), 0, name + ", seed " + seed + ": " + result);
            assertEquals(
                    result.falselyDead(), falselyDead, name + ", seed " + seed + ": " + result);
            assertTrue(result.messages() < 10, name + ", seed " + seed + ": " + result);
        }
    }

    @Test
    public void deathIsDetectedByAllMembersWithin30Seconds() {
        var result =
                MembershipSimulation.run(
                        setting(
                                30,
                                150_000,
                                Network.FAULTLESS,
                                fault(SimulatedFault.Kind.DEAD, 60_000, 1e9, 4)),
                        MembershipSimulation.Way.SWIM,
                        1);
        assertTrue(result.allMs() < 30_000, result.toString());
    }

    @Test
    public void lossyNetworkWithoutSuspicionCausesFalseDeaths() {
        // Shows why suspicion is needed: finalViewsAreCorrectAndNoHealthyMemberIsDeclaredDead runs
        // a fleet of this size with suspicion, at a loss of 5% instead of 20%.
        var result =
                MembershipSimulation.run(
                        setting(30, 90_000, new Network(5, 0.2, 0)),
                        MembershipSimulation.Way.SWIM_WITHOUT_SUSPICION,
                        1);
        assertTrue(result.falselyDead() > 0, result.toString());
    }
}
