package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SharedLimit;

/** Which parts get another attempt: by outcome, query class, budget and resets. */
public class AttemptRulesTest {
    @DataProvider
    Object[][] retries() {
        return new Object[][] {
            // query class, how the first attempt ended, after how many ms, whether the part is sent
            // again
            {SchedulerFixture.COMPLETE_ONLY, AttemptOutcome.ERROR, 50, true},
            {SchedulerFixture.COMPLETE_ONLY, AttemptOutcome.UNREACHABLE, 50, true},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.ERROR, 50, false},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.RESET, 50, false},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.TIMED_OUT, 50, false},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.CANCELLED, 50, false},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.UNREACHABLE, 50, true},
            {SchedulerFixture.NON_IDEMPOTENT, AttemptOutcome.OVERLOADED, 50, true},
            {SchedulerFixture.DEDUPLICATED, AttemptOutcome.ERROR, 50, true},
            {SchedulerFixture.DEDUPLICATED, AttemptOutcome.ERROR, 1600, false},
            {SchedulerFixture.DEDUPLICATED, AttemptOutcome.OVERLOADED, 1600, true},
        };
    }

    @Test(dataProvider = "retries")
    public void failedPartIsRetriedOnlyWhereItsQueryClassAllows(
            QueryClass queryClass, AttemptOutcome outcome, double after, boolean again) {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(3, 1000, false, true, 500);
        fixture.start().receive("s", queryClass, 1, 4000);
        fixture.waitFor(after);
        fixture.endAttempt("s/0", 0, outcome);
        assertEquals(fixture.serversByPart().get("s/0").size(), again ? 2 : 1);
    }

    @Test
    public void failuresOfAllPartsKeepRetriesWithinTheBudget() {
        var fixture = new SchedulerFixture();
        fixture.retryBudget = new Deployment.RetryBudget(2, 0.1, 10_000);
        fixture.start();
        for (int i = 0; i < 10; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            if (fixture.serversByPart().containsKey("s" + i + "/0")) {
                fixture.endAttempt("s" + i + "/0", 0, AttemptOutcome.ERROR);
            }
        }
        long retries =
                fixture.serversByPart().values().stream().mapToInt(sent -> sent.size() - 1).sum();
        // Ten queries of one part are twenty requests: two retries are free, and a tenth for each.
        assertTrue(retries >= 2 && retries <= 4, retries + " retries");
    }

    @Test
    public void exhaustedSharedLimitStopsRetries() {
        var fixture = new SchedulerFixture().start();
        fixture.decide(SchedulerFixture.clusterView(0, Map.of(SharedLimit.RETRIES, 2), Map.of()));
        for (int i = 0; i < 10; i++) {
            fixture.receive("s" + i, SchedulerFixture.COMPLETE_ONLY, 1, 4000);
            if (fixture.serversByPart().containsKey("s" + i + "/0")) {
                fixture.endAttempt("s" + i + "/0", 0, AttemptOutcome.ERROR);
            }
        }
        assertEquals(
                fixture.serversByPart().values().stream().mapToInt(sent -> sent.size() - 1).sum(),
                2);
        assertEquals(
                fixture.all(Command.ConsumeAllowance.class),
                Collections.nCopies(2, new Command.ConsumeAllowance(SharedLimit.RETRIES, 1)));
    }

    @DataProvider
    Object[][] resetParts() {
        return new Object[][] {
            // how each of two parts ends (null: stays pending), attempts of the first, final answer
            {AttemptOutcome.RESET, AttemptOutcome.COMPLETED, 2, List.of()},
            {AttemptOutcome.RESET, null, 1, List.of()},
            {AttemptOutcome.RESET, AttemptOutcome.RESET, 1, List.of("rejected")},
            {AttemptOutcome.ERROR, null, 2, List.of()},
        };
    }

    /**
     * Queries that bring down whatever server begins one of their parts mustn't go on to the next
     * replica.
     */
    @Test(dataProvider = "resetParts")
    public void resetPartIsRetriedOnlyOnceAnotherIsCompleted(
            AttemptOutcome one, AttemptOutcome other, int sent, List<String> ends) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 2, 4000);
        fixture.endAttempt("s/0", 0, one);
        fixture.waitFor(50);
        if (other != null) {
            fixture.endAttempt("s/1", 0, other);
        }
        fixture.waitFor(50);
        assertEquals(fixture.serversByPart().get("s/0").size(), sent);
        assertEquals(fixture.finalAnswers(), ends);
    }
}
