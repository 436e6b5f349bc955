package sprucehold.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.cluster.counter.CounterTable;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.EvidenceTable;
import sprucehold.cluster.evidence.FailureAssessment;
import sprucehold.cluster.evidence.Observation;

/**
 * Tests that counters are correct after reordered and repeated messages and restarts, and that no
 * single observer changes a failure score.
 */
public class CountsAndEvidenceTest {
    @Test
    public void countersReceivedInAnyOrderAndRepeatedlyHaveTheSameTotal() {
        List<CounterValue> values =
                List.of(
                        new CounterValue("b", 1, "s", 5),
                        new CounterValue("b", 1, "s", 9),
                        new CounterValue("b", 2, "s", 3),
                        new CounterValue("c", 1, "s", 4),
                        new CounterValue("c", 1, "t", 2),
                        new CounterValue("b", 2, "s", 1));
        for (long seed = 0; seed < 100; seed++) {
            var order = new ArrayList<>(values);
            order.addAll(values.subList(0, 3));
            Collections.shuffle(order, new Random(seed));
            var counters = new CounterTable("a", 7, 5000);
            counters.add(0, "s", 10);
            order.forEach(value -> counters.receive(1, value));
            assertEquals(counters.total("s"), 10 + 9 + 3 + 4);
            assertEquals(counters.total("t"), 2);
        }
    }

    @Test
    public void restartKeepsEarlierTotalsAndOwnCounterIgnoresReceivedValues() {
        var counters = new CounterTable("a", 7, 5000);
        counters.add(0, "s", 10);
        counters.receive(1, new CounterValue("a", 7, "s", 1000));
        counters.receive(1, new CounterValue("a", 6, "s", 4));
        assertEquals(counters.total("s"), 14, "only the total of its earlier generation is added");
        for (int generation = 1; generation <= 20; generation++) {
            counters.receive(generation, new CounterValue("b", generation, "s", 1));
        }
        assertEquals(counters.total("s"), 14 + 20);
        counters.receive(30, new CounterValue("b", 3, "s", 500));
        assertEquals(counters.total("s"), 34, "a late value of a merged generation adds nothing");
        assertEquals(counters.ownCounters(5), List.of(new CounterValue("a", 7, "s", 10)));
    }

    @Test
    public void rateOfOthersDecaysWithTheHalfLife() {
        var counters = new CounterTable("a", 7, 5000);
        counters.receive(1000, new CounterValue("b", 1, "s", 100));
        assertEquals(
                counters.othersPerSecond(1000, "s"), 0.0, "one value is not enough for a rate");
        counters.receive(2000, new CounterValue("b", 1, "s", 150));
        assertEquals(counters.othersPerSecond(2000, "s"), 50, 1e-9);
        assertEquals(counters.othersPerSecond(7000, "s"), 25, 1e-9);
        counters.add(2000, "s", 1000);
        assertEquals(counters.othersPerSecond(2000, "s"), 50, 1e-9, "its own values are excluded");
    }

    private static Observation observation(
            String observer,
            String observerSite,
            String server,
            double successes,
            double failures) {
        return new Observation(observer, observerSite, server, "x", 50, successes, failures, 1);
    }

    @DataProvider
    Object[][] observationSets() {
        return new Object[][] {
            {"no observations", (Consumer<EvidenceTable>) evidence -> {}, 0.0},
            {"one lying observer", of("b:y:0:99"), 0.0},
            {"two observers that agree are too few", of("b:y:0:9", "c:z:0:9"), 0.0},
            {"three observers from two sites", of("b:y:0:9", "c:z:0:9", "d:z:0:9"), 1.0},
            {
                "three observers from one of two sites",
                of("b:y:0:9", "c:y:0:9", "d:y:0:9", "e:z:1:0"),
                0.0
            },
            {
                "one lying observer among honest ones",
                of("b:y:0:99", "c:z:9:0", "d:z:9:0", "e:y:9:0"),
                0.0
            },
            {
                "half of the observers: in doubt, in favour of the server",
                of("b:y:0:9", "c:z:0:9", "d:z:9:0", "e:y:9:0"),
                0.0
            },
            {"too few attempts", of("b:y:0:1", "c:z:0:1", "d:z:0:1"), 0.0},
            {"invalid numbers", of("b:y:0:NaN", "c:z:-5:9", "d:z:0:Infinity"), 0.0},
        };
    }

    /** Creates observations of server s, each given as OBSERVER:SITE:SUCCESSES:FAILURES. */
    private static Consumer<EvidenceTable> of(String... observations) {
        return evidence -> {
            for (String observation : observations) {
                String[] fields = observation.split(":", -1);
                evidence.receive(
                        0,
                        observation(
                                fields[0],
                                fields[1],
                                "s",
                                Double.parseDouble(fields[2]),
                                Double.parseDouble(fields[3])));
            }
        };
    }

    @Test(dataProvider = "observationSets")
    public void failureScoreRequiresSeveralCredibleObservers(
            String name, Consumer<EvidenceTable> observations, double failureScore) {
        var evidence = new EvidenceTable("a", "y");
        observations.accept(evidence);
        assertEquals(evidence.assess(0, "s", 50).failureScore(), failureScore, name);
    }

    @Test
    public void observersThatSeeAWholeSiteFailAreIgnored() {
        var evidence = new EvidenceTable("a", "y");
        for (String observer : List.of("b", "c", "d")) {
            for (String server : List.of("s", "t", "u")) {
                evidence.receive(
                        0, observation(observer, observer.equals("b") ? "y" : "z", server, 0, 9));
            }
        }
        assertEquals(
                evidence.assess(0, "s", 50),
                FailureAssessment.NONE,
                "three observers that are cut off from site x prove nothing about its servers");
    }

    @Test
    public void evidenceDecaysAndDoesNotApplyToAnotherStartOfTheServer() {
        var evidence = new EvidenceTable("a", "y");
        of("b:y:0:9", "c:z:0:9", "d:z:0:9").accept(evidence);
        assertEquals(evidence.assess(0, "s", 50).failureScore(), 1.0);
        assertEquals(
                evidence.assess(0, "s", 51).failureScore(), 0.0, "the server has restarted since");
        assertEquals(
                evidence.assess(12_000, "s", 50).failureScore(),
                0.0,
                "nine attempts decay below two in eleven seconds");
        evidence.retainObservers(List.of("b", "c"));
        assertEquals(evidence.assess(0, "s", 50).failureScore(), 0.0, "one observer is gone");
    }

    @Test
    public void ownObservationsAreSentWorstFirstAndResetWhenAServerRestarts() {
        var evidence = new EvidenceTable("a", "y");
        for (int i = 0; i < 4; i++) {
            evidence.recordAttempt(i, "s", "x", 50, true);
            evidence.recordAttempt(i, "t", "x", 50, false);
        }
        evidence.recordAttempt(4, "u", "x", 50, false);
        List<Observation> sent = evidence.observationsToSend(4, 5);
        assertEquals(
                sent.stream().map(Observation::server).toList(),
                List.of("t", "s"),
                "an observation of one attempt is not sent");
        assertTrue(sent.get(0).failures() > 3.9 && sent.get(0).successes() == 0, sent.toString());
        evidence.recordAttempt(5, "t", "x", 99, true);
        assertEquals(
                evidence.observationsToSend(5, 5).stream().map(Observation::server).toList(),
                List.of("s"));
    }
}
