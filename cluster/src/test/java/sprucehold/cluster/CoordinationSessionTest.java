package sprucehold.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.quota.Permit;
import sprucehold.cluster.quota.QuotaTerms;
import sprucehold.cluster.session.ClusterMessage;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.cluster.session.SessionSettings;
import sprucehold.cluster.wire.Codec;
import sprucehold.cluster.wire.Received;

/** Tests of whole sessions, which exchange messages as bytes in simulated time. */
public class CoordinationSessionTest {
    private static final Map<String, String> SITES = Map.of("a", "x", "b", "y", "c", "y");
    private static final double WALL = 1.7e12;

    private static SessionSettings settings() {
        return new SessionSettings(
                Map.of("further", new QuotaTerms(10, 2, 1000, 20, 2000, 0.002)), 60, 5000);
    }

    private static CoordinationSession session(String name, long generation) {
        return new CoordinationSession(
                settings(), name, SITES.get(name), generation, SITES, 1, 0, WALL);
    }

    /** Three gatherers that exchange messages, with a simulated clock. */
    private static final class Cluster {
        final Map<String, CoordinationSession> sessions = new TreeMap<>();
        final Map<String, Codec> codecs = new TreeMap<>();
        final List<String> deaf = new ArrayList<>();
        double now;

        Cluster() {
            SITES.keySet()
                    .forEach(
                            name -> {
                                sessions.put(name, session(name, 1));
                                codecs.put(name, new Codec(name));
                            });
        }

        void advance(double ms) {
            for (double until = now + ms; now < until; now += 50) {
                if (now % 200 == 0) {
                    sessions.forEach(
                            (name, session) -> deliver(name, session.tick(now, WALL + now)));
                }
            }
        }

        private void deliver(String from, List<CoordinationSession.Outgoing> out) {
            for (CoordinationSession.Outgoing outgoing : out) {
                byte[] bytes = codecs.get(from).write(outgoing.to(), outgoing.message(), 1);
                if (!deaf.contains(outgoing.to())
                        && codecs.get(outgoing.to()).read(bytes) instanceof Received.Decoded read) {
                    deliver(
                            outgoing.to(),
                            sessions.get(outgoing.to())
                                    .receive(now, WALL + now, read.from(), read.message()));
                }
            }
        }

        int consume(String name, int wanted) {
            int granted = 0;
            for (int i = 0; i < wanted; i++) {
                granted +=
                        sessions.get(name).consume(now, WALL + now, "further", 1) == null ? 0 : 1;
            }
            return granted;
        }
    }

    @Test
    public void threeGatherersDiscoverEachOtherLendUnitsAndShareObservations() {
        var cluster = new Cluster();
        cluster.advance(10_000);
        CoordinationSession a = cluster.sessions.get("a");
        assertEquals(
                a.status(cluster.now, WALL + cluster.now).members().stream()
                        .map(MemberUpdate::state)
                        .distinct()
                        .toList(),
                List.of(MemberUpdate.State.ALIVE));
        int most = 0;
        for (int second = 0; second < 5; second++) {
            most = Math.max(most, cluster.consume("a", 30));
            cluster.advance(1050);
        }
        assertTrue(
                most > 15,
                "a got "
                        + most
                        + " in a window; it has 10 own units, and the others lend up to 8 each");
        for (int i = 0; i < 5; i++) {
            List.of("a", "b", "c")
                    .forEach(
                            name ->
                                    cluster.sessions
                                            .get(name)
                                            .recordAttempt(
                                                    cluster.now,
                                                    WALL + cluster.now,
                                                    "s",
                                                    "z",
                                                    5,
                                                    false));
            cluster.sessions.get("b").recordSent(cluster.now, WALL + cluster.now, "s", 10);
            cluster.advance(1000);
        }
        assertEquals(
                a.assess(cluster.now, WALL + cluster.now, "s", 5).observers(),
                2,
                "the other two have sent their observations");
        assertTrue(a.othersPerSecond(cluster.now, WALL + cluster.now, "s") > 5);
    }

    @Test
    public void leaseIsRenewedWhileNeededAndUnitsMoveToALaterBusyGatherer() {
        var cluster = new Cluster();
        cluster.advance(10_000);
        int held = 0;
        // Ten lease terms. Without renewal, gatherer a would have only its own units for half of
        // each term.
        for (int second = 0; second < 20; second++) {
            cluster.consume("a", 30);
            cluster.advance(1050);
            if (second >= 4) {
                held +=
                        cluster.sessions
                                .get("a")
                                .limitStatus(cluster.now, WALL + cluster.now, "further")
                                .borrowed();
            }
        }
        assertTrue(held >= 16 * 6, "borrowed over sixteen seconds: " + held);
        int later = 0;
        for (int second = 0; second < 20; second++) {
            cluster.consume("a", 30);
            later += second < 10 ? 0 : cluster.consume("b", 30);
            cluster.consume("b", 30);
            cluster.advance(1050);
        }
        assertTrue(later > 10 * 8, "b got " + later + " in ten seconds while it was busy as well");
    }

    @Test
    public void isolatedGathererCanUseItsOwnUnitsAfterALeaseTerm() {
        var cluster = new Cluster();
        cluster.advance(10_000);
        cluster.consume("a", 30);
        cluster.advance(2000);
        cluster.deaf.addAll(List.of("a", "b", "c"));
        cluster.advance(4000);
        assertEquals(cluster.consume("a", 30), 10);
        assertEquals(cluster.consume("b", 30), 10);
    }

    @Test
    public void supersededGathererConsumesNoUnits() {
        CoordinationSession session = session("a", 7);
        session.tick(10_000, WALL + 10_000);
        Permit permit = session.consume(10_000, WALL + 10_000, "further", 1);
        assertNotNull(permit);
        session.receive(
                10_001,
                WALL + 10_001,
                "b",
                new ClusterMessage.MembershipPart(
                        new MemberMessage.MemberTable(
                                false,
                                List.of(
                                        new MemberUpdate(
                                                "a", "x", 9, 0, MemberUpdate.State.ALIVE)))));
        assertNull(session.consume(10_002, WALL + 10_002, "further", 1));
        assertFalse(
                session.isValid(10_002, WALL + 10_002, permit),
                "a permit issued before is not valid either");
        session.receive(
                10_003,
                WALL + 10_003,
                "b",
                new ClusterMessage.MembershipPart(
                        new MemberMessage.MemberTable(
                                false,
                                List.of(
                                        new MemberUpdate(
                                                "a", "x", 9, 0, MemberUpdate.State.DEAD)))));
        assertNull(
                session.consume(10_004, WALL + 10_004, "further", 1),
                "the other process may have used and lent all units until now");
        assertNotNull(session.consume(14_000, WALL + 14_000, "further", 10));
    }

    @Test
    public void answersToAFloodOfMessagesAreLimitedByTheMessageBudget() {
        CoordinationSession session = session("a", 7);
        int answers = 0;
        for (int i = 0; i < 10_000; i++) {
            answers +=
                    session.receive(
                                    i / 10.0,
                                    WALL + i / 10.0,
                                    "b",
                                    new ClusterMessage.MembershipPart(
                                            new MemberMessage.Ping(i, List.of())))
                            .size();
        }
        assertTrue(answers <= 60 + 60 + 1, "one second's budget and a full bucket: " + answers);
        assertTrue(session.status(1000, WALL + 1000).droppedMessages() > 9000);
    }

    @Test
    public void countersAndObservationsInTheNameOfAnotherAreIgnored() {
        CoordinationSession session = session("a", 7);
        var counters = List.of(new CounterValue("c", 1, "s", 1_000_000));
        for (String liar : List.of("b")) {
            for (String observer : List.of("c", "d", "e")) {
                session.receive(
                        10,
                        WALL,
                        liar,
                        new ClusterMessage.ObservationPart(
                                counters,
                                List.of(new Observation(observer, "y", "s", "z", 5, 0, 99, 1))));
            }
        }
        assertEquals(session.assess(10, WALL, "s", 5).observers(), 0);
        assertEquals(session.othersPerSecond(10, WALL, "s"), 0.0);
    }

    @Test
    public void observationsOfAFailingServerAreSentToAll59OthersWithinThreeSeconds() {
        var sites = new TreeMap<String, String>();
        for (int i = 0; i < 60; i++) {
            sites.put("g" + i, "x");
        }
        var session = new CoordinationSession(settings(), "g0", "x", 1, sites, 1, 0, WALL);
        sites.keySet()
                .forEach(
                        name ->
                                session.receive(
                                        0,
                                        WALL,
                                        "g1",
                                        new ClusterMessage.MembershipPart(
                                                new MemberMessage.MemberTable(
                                                        false,
                                                        List.of(
                                                                new MemberUpdate(
                                                                        name,
                                                                        "x",
                                                                        1,
                                                                        0,
                                                                        MemberUpdate.State
                                                                                .ALIVE))))));
        var receivers = new TreeMap<String, Integer>();
        for (double now = 0; now <= 3000; now += 200) {
            session.recordAttempt(now, WALL + now, "s", "z", 5, false);
            for (CoordinationSession.Outgoing out : session.tick(now, WALL + now)) {
                if (out.message() instanceof ClusterMessage.ObservationPart) {
                    receivers.merge(out.to(), 1, Integer::sum);
                }
            }
        }
        assertEquals(receivers.size(), 59, receivers.toString());
    }

    @Test
    public void consumeOfAnUnknownLimitThrowsWithKnownLimits() {
        String message =
                expectThrows(
                                IllegalArgumentException.class,
                                () -> session("a", 7).consume(0, WALL, "probes", 1))
                        .getMessage();
        assertEquals(message, "no shared limit is called probes; one of [further] was expected");
    }
}
