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
import sprucehold.decision.Reason;

/** Tests servers that leave, return or are missing, and an endpoint list that is unavailable. */
public class EndpointListTest {
    @Test
    public void partOfAShardWithoutReplicasWaitsForOne() {
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
    public void unavailableListIsRequestedWithGrowingBackoffBelowTheMaximumPollInterval() {
        SchedulerFixture fixture = startWithPolledList();
        assertEquals(fixture.all(Command.SubscribeToEndpoints.class).size(), 1);
        double lastRequestAtMs = fixture.now;
        double longestGapMs = 0;
        int requests = 1;
        for (int i = 0; i < 12; i++) {
            fixture.decide(new Event.EndpointsUnavailable());
            while (fixture.all(Command.SubscribeToEndpoints.class).size() == requests) {
                fixture.waitFor(50);
            }
            requests++;
            longestGapMs = Math.max(longestGapMs, fixture.now - lastRequestAtMs);
            lastRequestAtMs = fixture.now;
        }
        assertTrue(longestGapMs > 2000 && longestGapMs < 10_000, longestGapMs + " ms");
    }

    @DataProvider
    Object[][] successes() {
        Endpoint a = SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.RUNNING);
        return new Object[][] {
            {true, new Event.EndpointsUpdated(true, List.of(a))},
            {false, new Event.EndpointsUpdated(true, List.of(a))},
            {false, new Event.EndpointsUpdated(false, List.of())},
        };
    }

    /**
     * Guards against attempts to draining servers after failures that lie far apart: a watch that
     * falls silent is noticed late, so the list must be requested soon then.
     */
    @Test(dataProvider = "successes")
    public void firstFailureAfterASuccessIsFollowedByARequestSoon(
            boolean beforeTheFirstList, Event.EndpointsUpdated success) {
        var fixture = new SchedulerFixture();
        fixture.subscription = new Deployment.EndpointSubscription(true, 10_000);
        if (beforeTheFirstList) {
            fixture.startWithoutEndpoints();
        } else {
            fixture.start();
        }
        for (int i = 0; i < 5; i++) {
            fixture.decide(new Event.EndpointsUnavailable());
            fixture.waitFor(4000);
        }
        fixture.decide(success);
        int requests = fixture.all(Command.SubscribeToEndpoints.class).size();
        fixture.decide(new Event.EndpointsUnavailable());
        fixture.waitFor(400);
        assertEquals(fixture.all(Command.SubscribeToEndpoints.class).size(), requests + 1);
    }

    /** Guards against requests that multiply while several calls without an answer are open. */
    @Test
    public void failuresBeforeTheNextRequestLeadToOneRequest() {
        SchedulerFixture fixture = startWithPolledList();
        for (int i = 0; i < 3; i++) {
            fixture.decide(new Event.EndpointsUnavailable());
        }
        fixture.waitFor(4000);
        assertEquals(requestsAfterFailures(fixture), 1);
    }

    /**
     * A request that was scheduled after many failures doesn't hold back one that is due sooner.
     */
    @Test
    public void failureAfterASuccessBringsAScheduledRequestForward() {
        SchedulerFixture fixture = startWithPolledList();
        for (int i = 0; i < 5; i++) {
            fixture.decide(new Event.EndpointsUnavailable());
            fixture.waitFor(4000);
        }
        fixture.decide(new Event.EndpointsUnavailable());
        fixture.decide(new Event.EndpointsUpdated(false, List.of()));
        long requests = requestsAfterFailures(fixture);
        fixture.decide(new Event.EndpointsUnavailable());
        fixture.waitFor(400);
        assertEquals(requestsAfterFailures(fixture), requests + 1);
        fixture.waitFor(4000);
        assertEquals(requestsAfterFailures(fixture), requests + 1);
    }

    private static SchedulerFixture startWithPolledList() {
        var fixture = new SchedulerFixture();
        fixture.subscription = new Deployment.EndpointSubscription(true, 10_000);
        return fixture.start();
    }

    private static long requestsAfterFailures(SchedulerFixture fixture) {
        return fixture.all(Command.SubscribeToEndpoints.class).stream()
                .filter(command -> command.reason() == Reason.ENDPOINTS_UNAVAILABLE)
                .count();
    }

    @DataProvider
    Object[][] absences() {
        return new Object[][] {{29_000, false}, {31_000, true}};
    }

    /**
     * State of old servers must not accumulate when a fleet is replaced by servers with new names.
     * A server that is missing only briefly keeps its state.
     */
    @Test(dataProvider = "absences")
    public void stateOfAServerGoneForLongIsRemoved(double goneMs, boolean removed) {
        SchedulerFixture fixture = SchedulerFixture.withThreeFailuresOfA(AttemptOutcome.ERROR, 1);
        fixture.decide(
                new Event.EndpointsUpdated(
                        false, List.of(SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.GONE))));
        fixture.waitFor(goneMs);
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(SchedulerFixture.endpoint("b", 1, 0, Endpoint.State.RUNNING))));
        fixture.decide(
                new Event.EndpointsUpdated(
                        false,
                        List.of(SchedulerFixture.endpoint("a", 0, 0, Endpoint.State.RUNNING))));
        // Three recorded failures count as much as three pending attempts.
        fixture.commands.clear();
        for (int i = 0; i < 3; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        }
        assertEquals(
                fixture.all(Command.SendAttempt.class).stream()
                        .anyMatch(attempt -> attempt.server().equals("a")),
                removed);
    }
}
