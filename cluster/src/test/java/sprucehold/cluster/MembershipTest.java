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

/** Who is there: alone by hand, and fleets in simulated time. */
public class MembershipTest {
    private static final Network BAD = new Network(5, 0.05, 0.05);

    private static Membership member(String name, long life) {
        return new Membership(name, "a", life, Map.of("a", "a", "b", "a", "c", "a"), new Random(1));
    }

    private static MemberUpdate news(
            String name, long life, int incarnation, MemberUpdate.State state) {
        return new MemberUpdate(name, "a", life, incarnation, state);
    }

    private static MemberUpdate of(Membership member, String name) {
        return member.members().stream()
                .filter(one -> one.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static void tell(Membership member, MemberUpdate... news) {
        member.receive(0, "c", new MemberMessage.MemberTable(false, List.of(news)));
    }

    @Test
    public void membersWithTheSameUpdatesInAnyOrderAgree() {
        List<MemberUpdate> all =
                List.of(
                        news("b", 5, 0, MemberUpdate.State.ALIVE),
                        news("b", 5, 0, MemberUpdate.State.SUSPECT),
                        news("b", 5, 1, MemberUpdate.State.ALIVE),
                        news("b", 5, 1, MemberUpdate.State.DEAD),
                        news("b", 6, 0, MemberUpdate.State.ALIVE),
                        news("b", 6, 0, MemberUpdate.State.SUSPECT),
                        news("b", 4, 9, MemberUpdate.State.LEFT));
        for (long seed = 0; seed < 200; seed++) {
            var order = new ArrayList<>(all);
            order.addAll(all.subList(0, (int) (seed % all.size())));
            Collections.shuffle(order, new Random(seed));
            var member = member("a", 1);
            order.forEach(one -> tell(member, one));
            assertEquals(
                    of(member, "b"), news("b", 6, 0, MemberUpdate.State.SUSPECT), "order " + order);
        }
    }

    @DataProvider
    Object[][] ofItself() {
        return new Object[][] {
            {
                "suspected",
                news("a", 7, 0, MemberUpdate.State.SUSPECT),
                news("a", 7, 1, MemberUpdate.State.ALIVE),
                false
            },
            {
                "held dead at a higher incarnation",
                news("a", 7, 4, MemberUpdate.State.DEAD),
                news("a", 7, 5, MemberUpdate.State.ALIVE),
                false
            },
            {
                "an earlier life is dead",
                news("a", 3, 9, MemberUpdate.State.DEAD),
                news("a", 7, 0, MemberUpdate.State.ALIVE),
                false
            },
            {
                "a later life is dead: the clock went back",
                news("a", 9, 2, MemberUpdate.State.DEAD),
                news("a", 10, 0, MemberUpdate.State.ALIVE),
                false
            },
            {
                "a later life left",
                news("a", 9, 2, MemberUpdate.State.LEFT),
                news("a", 10, 0, MemberUpdate.State.ALIVE),
                false
            },
            {
                "a later life is there: two of one name",
                news("a", 9, 0, MemberUpdate.State.ALIVE),
                news("a", 7, 0, MemberUpdate.State.ALIVE),
                true
            },
            {
                "its own news come back",
                news("a", 7, 0, MemberUpdate.State.ALIVE),
                news("a", 7, 0, MemberUpdate.State.ALIVE),
                false
            },
        };
    }

    @Test(dataProvider = "ofItself")
    public void whatOthersStateOfItIsRefutedOrYieldedTo(
            String what, MemberUpdate heard, MemberUpdate then, boolean superseded) {
        var member = member("a", 7);
        tell(member, heard);
        assertEquals(member.members().get(0), then, what);
        assertEquals(member.superseded(), superseded, what);
    }

    @Test
    public void aSupersededMemberAnswersForNobodyUntilTheOtherIsGone() {
        var member = member("a", 7);
        tell(member, news("a", 9, 0, MemberUpdate.State.ALIVE));
        List<FailureDetector.Outgoing> out =
                member.receive(10, "b", new MemberMessage.Ping(1, List.of()));
        assertTrue(
                out.stream().noneMatch(one -> one.message() instanceof MemberMessage.Ack),
                out.toString());
        tell(member, news("a", 9, 0, MemberUpdate.State.DEAD));
        assertFalse(member.superseded());
        out = member.receive(10, "b", new MemberMessage.Ping(2, List.of()));
        assertTrue(
                out.stream().anyMatch(one -> one.message() instanceof MemberMessage.Ack),
                out.toString());
    }

    @Test
    public void aMemberThatWasPausedItselfSuspectsNobody() {
        var member = member("a", 7);
        tell(
                member,
                news("b", 1, 0, MemberUpdate.State.ALIVE),
                news("c", 1, 0, MemberUpdate.State.ALIVE));
        for (double now = 0; now <= 800; now += 200) {
            member.tick(now);
        }
        // Stopped for ten seconds, with a probe out.
        member.tick(11_000);
        assertEquals(member.localHealth(), 8);
        assertEquals(member.alive(), Set.of("b", "c"));
        assertTrue(
                member.members().stream().allMatch(one -> one.state() == MemberUpdate.State.ALIVE),
                member.members().toString());
    }

    @Test
    public void anIsolatedMemberSuspectsNobody() {
        var member = new Membership("a", "a", 7, Map.of(), new Random(1));
        for (int i = 0; i < 20; i++) {
            tell(member, news("g" + i, 1, 0, MemberUpdate.State.ALIVE));
        }
        for (double now = 0; now <= 600_000; now += 200) {
            member.tick(now);
        }
        assertTrue(member.isolated());
        long blamed =
                member.members().stream()
                        .filter(one -> one.state() != MemberUpdate.State.ALIVE)
                        .count();
        assertTrue(blamed <= 2, member.members().toString());
        assertTrue(
                member.members().stream().noneMatch(one -> one.state() == MemberUpdate.State.DEAD),
                member.members().toString());
    }

    @Test
    public void messagesStayWithinADatagramHoweverMuchIsNew() {
        var member = member("a", 7);
        for (int i = 0; i < 500; i++) {
            tell(member, news("g" + i, 1, 0, MemberUpdate.State.ALIVE));
        }
        for (double now = 0; now <= 60_000; now += 200) {
            for (FailureDetector.Outgoing out : member.tick(now)) {
                assertTrue(out.message().updates().size() <= 12, out.toString());
            }
        }
    }

    private static SimulatedFault trouble(
            SimulatedFault.Kind kind, double fromMs, double toMs, Integer... of) {
        return new SimulatedFault(kind, Set.of(of), fromMs, toMs);
    }

    private static MembershipSimulation.Setting setting(
            int members, double lengthMs, Network network, SimulatedFault... troubles) {
        return new MembershipSimulation.Setting(members, lengthMs, network, List.of(troubles));
    }

    @DataProvider
    Object[][] fleets() {
        double never = 1e9;
        return new Object[][] {
            {"sound", setting(30, 90_000, Network.SOUND), 0},
            {"sound, three of them", setting(3, 90_000, Network.SOUND), 0},
            {"a bad network", setting(30, 90_000, BAD), 0},
            {
                "a death",
                setting(30, 120_000, BAD, trouble(SimulatedFault.Kind.DEAD, 60_000, never, 4)),
                0
            },
            {
                "a restart under the same name",
                setting(30, 180_000, BAD, trouble(SimulatedFault.Kind.DEAD, 60_000, 62_000, 4)),
                0
            },
            {
                "a pause of ten seconds",
                setting(
                        30,
                        180_000,
                        BAD,
                        trouble(SimulatedFault.Kind.PAUSED, 60_000, 70_000, 4, 5)),
                0
            },
            {
                "deaf for a while",
                setting(30, 240_000, BAD, trouble(SimulatedFault.Kind.DEAF, 60_000, 100_000, 4)),
                0
            },
            {
                "mute for a while",
                setting(30, 240_000, BAD, trouble(SimulatedFault.Kind.MUTE, 60_000, 100_000, 4)),
                0
            },
            {
                "cut in two and healed",
                setting(
                        20,
                        300_000,
                        BAD,
                        trouble(SimulatedFault.Kind.CUT_OFF, 60_000, 120_000, 0, 1, 2, 3, 4, 5, 6)),
                0
            },
            {
                "all alone and healed",
                setting(
                        6,
                        300_000,
                        BAD,
                        trouble(SimulatedFault.Kind.ALONE, 60_000, 120_000, 0, 1, 2, 3, 4, 5)),
                0
            },
        };
    }

    @Test(dataProvider = "fleets")
    public void allAreRightInTheEndAndNobodyIsHeldDeadForNothing(
            String what, MembershipSimulation.Setting setting, int falsely) {
        for (long seed = 1; seed <= 3; seed++) {
            var result = MembershipSimulation.play(setting, MembershipSimulation.Way.SWIM, seed);
            assertEquals(result.wrongAtEnd(), 0, what + ", seed " + seed + ": " + result);
            assertEquals(result.falselyDead(), falsely, what + ", seed " + seed + ": " + result);
            assertTrue(result.messages() < 10, what + ", seed " + seed + ": " + result);
        }
    }

    @Test
    public void allKnowOfADeathWithinHalfAMinute() {
        var result =
                MembershipSimulation.play(
                        setting(
                                30,
                                150_000,
                                Network.SOUND,
                                trouble(SimulatedFault.Kind.DEAD, 60_000, 1e9, 4)),
                        MembershipSimulation.Way.SWIM,
                        1);
        assertTrue(result.allMs() < 30_000, result.toString());
    }

    @Test
    public void withoutSuspicionALossyNetworkKills() {
        // What the suspicion is for; the same fleet with it is in the table above.
        var result =
                MembershipSimulation.play(
                        setting(30, 90_000, new Network(5, 0.2, 0)),
                        MembershipSimulation.Way.SWIM_WITHOUT_SUSPICION,
                        1);
        assertTrue(result.falselyDead() > 0, result.toString());
    }
}
