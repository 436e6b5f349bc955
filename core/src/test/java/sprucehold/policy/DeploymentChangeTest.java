package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/** Tests queries that are open while the deployment changes. */
public class DeploymentChangeTest {
    private static Deployment changedDeployment(
            SchedulerFixture fixture, List<QueryClass> classes) {
        return new Deployment(
                1,
                "z",
                5,
                0.2,
                classes,
                fixture.tenants,
                fixture.layout,
                fixture.limits,
                fixture.slowStart,
                fixture.retryBudget,
                fixture.subscription);
    }

    private static QueryClass withIdempotence(
            QueryClass queryClass, QueryClass.Idempotence idempotence, double windowMs) {
        return new QueryClass(
                queryClass.name(),
                idempotence,
                queryClass.latencyObjectiveMs(),
                1,
                0.1,
                windowMs,
                1,
                1,
                0);
    }

    @DataProvider
    Object[][] changedClasses() {
        QueryClass.Idempotence idempotent = QueryClass.Idempotence.IDEMPOTENT;
        QueryClass.Idempotence nonIdempotent = QueryClass.Idempotence.NON_IDEMPOTENT;
        return new Object[][] {
            // query class when the query is received, query class after a change while the part is
            // pending, whether the part is retried after an error
            {
                SchedulerFixture.NON_IDEMPOTENT,
                withIdempotence(SchedulerFixture.NON_IDEMPOTENT, idempotent, 0),
                false
            },
            {
                SchedulerFixture.COMPLETE_ONLY,
                withIdempotence(SchedulerFixture.COMPLETE_ONLY, nonIdempotent, 0),
                false
            },
            {
                SchedulerFixture.COMPLETE_ONLY,
                withIdempotence(SchedulerFixture.COMPLETE_ONLY, idempotent, 0),
                true
            },
            {
                SchedulerFixture.DEDUPLICATED,
                withIdempotence(SchedulerFixture.DEDUPLICATED, idempotent, 0),
                true
            },
            {
                SchedulerFixture.DEDUPLICATED,
                withIdempotence(
                        SchedulerFixture.DEDUPLICATED, QueryClass.Idempotence.DEDUPLICATED, 20),
                false
            },
            {
                SchedulerFixture.DEDUPLICATED,
                withIdempotence(
                        SchedulerFixture.DEDUPLICATED, QueryClass.Idempotence.DEDUPLICATED, 9000),
                true
            },
        };
    }

    @Test(dataProvider = "changedClasses")
    public void pendingPartKeepsTheRetryRestrictionsOfItsClassAfterAChange(
            QueryClass original, QueryClass changed, boolean retried) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", original, 1, 4000);
        fixture.decide(new Event.DeploymentChanged(changedDeployment(fixture, List.of(changed))));
        fixture.now += 50;
        fixture.endAttempt("s/0", 0, AttemptOutcome.ERROR);
        assertEquals(fixture.serversByPart().get("s/0").size(), retried ? 2 : 1);
    }

    @Test
    public void longerDeduplicationWindowDoesNotApplyToAnEarlierAttempt() {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.DEDUPLICATED, 1, 4000);
        fixture.decide(
                new Event.DeploymentChanged(
                        changedDeployment(
                                fixture,
                                List.of(
                                        withIdempotence(
                                                SchedulerFixture.DEDUPLICATED,
                                                QueryClass.Idempotence.DEDUPLICATED,
                                                9000)))));
        fixture.now += 1600;
        fixture.endAttempt("s/0", 0, AttemptOutcome.ERROR);
        assertEquals(fixture.serversByPart().get("s/0").size(), 1);
    }

    @Test
    public void openQueryKeepsItsCoverageWhenItsClassChanges() {
        var fixture = new SchedulerFixture().start();
        var completeClass =
                new QueryClass(
                        "three-quarters",
                        QueryClass.Idempotence.IDEMPOTENT,
                        1000,
                        1,
                        0.1,
                        0,
                        1,
                        1,
                        0);
        fixture.receive("old", SchedulerFixture.THREE_QUARTERS, 9, 4000);
        fixture.decide(
                new Event.DeploymentChanged(changedDeployment(fixture, List.of(completeClass))));
        fixture.commands.clear();
        fixture.receive("new", completeClass, 4, 4000);
        assertEquals(fixture.all(Command.SendAttempt.class).size(), 4);
        for (int i = 0; i < 7; i++) {
            fixture.endAttempt("old/" + i, 0, AttemptOutcome.COMPLETED);
        }
        assertTrue(
                fixture.finalAnswers().contains("complete"),
                "seven of nine parts sufficed when the query was received");
    }

    @Test
    public void openQueryOfARemovedTenantIsStillAnswered() {
        var fixture = new SchedulerFixture();
        fixture.tenants = List.of(new Tenant("acme", 10));
        fixture.start().receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        Deployment deployment = changedDeployment(fixture, List.of(SchedulerFixture.COMPLETE_ONLY));
        fixture.decide(
                new Event.DeploymentChanged(
                        new Deployment(
                                1,
                                "z",
                                5,
                                0.2,
                                List.of(SchedulerFixture.COMPLETE_ONLY),
                                List.of(),
                                deployment.layout(),
                                deployment.limits(),
                                deployment.slowStart(),
                                deployment.retryBudget(),
                                deployment.endpointSubscription())));
        fixture.endAttempt("s/0", 0, AttemptOutcome.COMPLETED);
        assertEquals(fixture.finalAnswers(), List.of("complete"));
        fixture.tenants = List.of();
        fixture.receive("t", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        fixture.endAttempt("t/0", 0, AttemptOutcome.COMPLETED);
        assertEquals(fixture.finalAnswers(), List.of("complete", "complete"));
    }
}
