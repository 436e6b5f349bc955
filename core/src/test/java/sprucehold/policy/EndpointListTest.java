package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/** Servers that go, come back or are missing, and a list that is unavailable. */
public class EndpointListTest {
    @Test
    public void shardWithoutReplicaWaitsForOne() {
        var fixture = new SchedulerFixture().start();
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(
                                SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.GONE),
                                SchedulerFixture.endpoint("b", 1, 0, Endpoint.State.GONE))));
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        assertEquals(fixture.finalAnswers(), List.of());
        fixture.waitFor(1000);
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(SchedulerFixture.endpoint("b", 1, 0, Endpoint.State.RUNNING))));
        assertEquals(fixture.serversByPart().get("s/0"), List.of("b"));
    }

    @Test
    public void unavailableListIsAskedForWithGrowingBackoffWithinItsTime() {
        var fixture = new SchedulerFixture();
        fixture.subscription = new Deployment.EndpointSubscription(true, 10_000);
        fixture.start();
        assertEquals(fixture.all(Command.SubscribeToEndpoints.class).size(), 1);
        double last = fixture.now;
        double longest = 0;
        int asked = 1;
        for (int i = 0; i < 12; i++) {
            fixture.decide(new Event.EndpointsUnavailable());
            while (fixture.all(Command.SubscribeToEndpoints.class).size() == asked) {
                fixture.waitFor(50);
            }
            asked++;
            longest = Math.max(longest, fixture.now - last);
            last = fixture.now;
        }
        assertTrue(longest > 2000 && longest < 10_000, longest + " ms");
    }

    @DataProvider
    Object[][] absences() {
        return new Object[][] {{29_000, false}, {31_000, true}};
    }

    /**
     * Fleets that are replaced by servers of new names must leave nothing behind; one that blinks
     * is known again.
     */
    @Test(dataProvider = "absences")
    public void serverGoneForLongIsForgotten(double goneFor, boolean forgotten) {
        SchedulerFixture fixture = SchedulerFixture.withThreeFailuresOfA(AttemptOutcome.ERROR, 1);
        fixture.decide(
                new Event.EndpointsUpdated(
                        false, List.of(SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.GONE))));
        fixture.waitFor(goneFor);
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(SchedulerFixture.endpoint("b", 1, 0, Endpoint.State.RUNNING))));
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.RUNNING))));
        // Three failures in its books count as three parts out.
        fixture.commands.clear();
        for (int i = 0; i < 3; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        }
        assertEquals(
                fixture.all(Command.SendAttempt.class).stream()
                        .anyMatch(d -> d.server().equals("a")),
                forgotten);
    }
}
