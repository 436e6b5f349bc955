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
 * Counts that any order, repeat or restart leaves right, and evidence that no single voice moves.
 */
public class CountsAndEvidenceTest {
    @Test
    public void countsHeardInAnyOrderAndTwiceAreTheSame() {
        List<CounterValue> news =
                List.of(
                        new CounterValue("b", 1, "s", 5),
                        new CounterValue("b", 1, "s", 9),
                        new CounterValue("b", 2, "s", 3),
                        new CounterValue("c", 1, "s", 4),
                        new CounterValue("c", 1, "t", 2),
                        new CounterValue("b", 2, "s", 1));
        for (long seed = 0; seed < 100; seed++) {
            var order = new ArrayList<>(news);
            order.addAll(news.subList(0, 3));
            Collections.shuffle(order, new Random(seed));
            var counts = new CounterTable("a", 7, 5000);
            counts.add(0, "s", 10);
            order.forEach(one -> counts.receive(1, one));
            assertEquals(counts.total("s"), 10 + 9 + 3 + 4);
            assertEquals(counts.total("t"), 2);
        }
    }

    @Test
    public void aRestartTakesNothingBackAndNobodyCountsForAnother() {
        var counts = new CounterTable("a", 7, 5000);
        counts.add(0, "s", 10);
        counts.receive(1, new CounterValue("a", 7, "s", 1000));
        counts.receive(1, new CounterValue("a", 6, "s", 4));
        assertEquals(
                counts.total("s"), 14, "its own is its own, and an earlier life's is remembered");
        for (int life = 1; life <= 20; life++) {
            counts.receive(life, new CounterValue("b", life, "s", 1));
        }
        assertEquals(counts.total("s"), 14 + 20);
        counts.receive(30, new CounterValue("b", 3, "s", 500));
        assertEquals(counts.total("s"), 34, "late news of a life long gone add nothing");
        assertEquals(counts.ownCounters(5), List.of(new CounterValue("a", 7, "s", 10)));
    }

    @Test
    public void aRateFadesByTheStatedLaw() {
        var counts = new CounterTable("a", 7, 5000);
        counts.receive(1000, new CounterValue("b", 1, "s", 100));
        assertEquals(counts.othersPerSecond(1000, "s"), 0.0, "one piece of news tells no rate");
        counts.receive(2000, new CounterValue("b", 1, "s", 150));
        assertEquals(counts.othersPerSecond(2000, "s"), 50, 1e-9);
        assertEquals(counts.othersPerSecond(7000, "s"), 25, 1e-9);
        counts.add(2000, "s", 1000);
        assertEquals(counts.othersPerSecond(2000, "s"), 50, 1e-9, "its own isn't others'");
    }

    private static Observation sighting(
            String observer, String observerSite, String server, double good, double bad) {
        return new Observation(observer, observerSite, server, "x", 50, good, bad, 1);
    }

    @DataProvider
    Object[][] opinions() {
        return new Object[][] {
            {"nobody says anything", (Consumer<EvidenceTable>) evidence -> {}, 0.0},
            {"one liar", of("b:y:0:99"), 0.0},
            {"two of one mind are too few", of("b:y:0:9", "c:z:0:9"), 0.0},
            {"three from two sites", of("b:y:0:9", "c:z:0:9", "d:z:0:9"), 1.0},
            {"three from one of two sites", of("b:y:0:9", "c:y:0:9", "d:y:0:9", "e:z:1:0"), 0.0},
            {"one liar among sound ones", of("b:y:0:99", "c:z:9:0", "d:z:9:0", "e:y:9:0"), 0.0},
            {
                "half of them, in doubt for the server",
                of("b:y:0:9", "c:z:0:9", "d:z:9:0", "e:y:9:0"),
                0.0
            },
            {"too little seen to tell", of("b:y:0:1", "c:z:0:1", "d:z:0:1"), 0.0},
            {"numbers that are none", of("b:y:0:NaN", "c:z:-5:9", "d:z:0:Infinity"), 0.0},
        };
    }

    /** Sightings of server s as OBSERVER:SITE:GOOD:BAD. */
    private static Consumer<EvidenceTable> of(String... sightings) {
        return evidence -> {
            for (String one : sightings) {
                String[] words = one.split(":", -1);
                evidence.receive(
                        0,
                        sighting(
                                words[0],
                                words[1],
                                "s",
                                Double.parseDouble(words[2]),
                                Double.parseDouble(words[3])));
            }
        };
    }

    @Test(dataProvider = "opinions")
    public void anOpinionTakesSeveralWhoCanBeBelieved(
            String what, Consumer<EvidenceTable> told, double trouble) {
        var evidence = new EvidenceTable("a", "y");
        told.accept(evidence);
        assertEquals(evidence.assess(0, "s", 50).failureScore(), trouble, what);
    }

    @Test
    public void whoSeesAWholeSiteFailHasTroubleOnTheWay() {
        var evidence = new EvidenceTable("a", "y");
        for (String observer : List.of("b", "c", "d")) {
            for (String server : List.of("s", "t", "u")) {
                evidence.receive(
                        0, sighting(observer, observer.equals("b") ? "y" : "z", server, 0, 9));
            }
        }
        assertEquals(
                evidence.assess(0, "s", 50),
                FailureAssessment.NONE,
                "three who are all cut off from x prove nothing of its servers");
    }

    @Test
    public void evidenceFadesAndSaysNothingOfAnotherLife() {
        var evidence = new EvidenceTable("a", "y");
        of("b:y:0:9", "c:z:0:9", "d:z:0:9").accept(evidence);
        assertEquals(evidence.assess(0, "s", 50).failureScore(), 1.0);
        assertEquals(
                evidence.assess(0, "s", 51).failureScore(), 0.0, "the server has started since");
        assertEquals(
                evidence.assess(12_000, "s", 50).failureScore(),
                0.0,
                "nine seen fade under two in eleven seconds");
        evidence.retainObservers(List.of("b", "c"));
        assertEquals(evidence.assess(0, "s", 50).failureScore(), 0.0, "one of three is gone");
    }

    @Test
    public void ownSightingsAreToldTheWorstFirstAndBeginAnewWithAServer() {
        var evidence = new EvidenceTable("a", "y");
        for (int i = 0; i < 4; i++) {
            evidence.recordAttempt(i, "s", "x", 50, true);
            evidence.recordAttempt(i, "t", "x", 50, false);
        }
        evidence.recordAttempt(4, "u", "x", 50, false);
        List<Observation> told = evidence.observationsToSend(4, 5);
        assertEquals(
                told.stream().map(Observation::server).toList(),
                List.of("t", "s"),
                "one dispatch tells nothing");
        assertTrue(told.get(0).failures() > 3.9 && told.get(0).successes() == 0, told.toString());
        evidence.recordAttempt(5, "t", "x", 99, true);
        assertEquals(
                evidence.observationsToSend(5, 5).stream().map(Observation::server).toList(),
                List.of("s"));
    }
}
