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

/**
 * Tests which parts get another attempt, depending on outcome, query class, retry budget and
 * connection resets.
 */
public class AttemptRulesTest {
    @DataProvider
    Object[][] retries() {
        return new Object[][] {
            // query class, outcome of the first attempt, after how many ms, whether the part is
            // sent again
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
            QueryClass queryClass, AttemptOutcome outcome, double afterMs, boolean retried) {
        var fixture = new SchedulerFixture();
        fixture.limits = new Deployment.Limits(3, 1000, false, true, 500);
        fixture.start().receive("s", queryClass, 1, 4000);
        fixture.waitFor(afterMs);
        fixture.endAttempt("s/0", 0, outcome);
        assertEquals(fixture.serversByPart().get("s/0").size(), retried ? 2 : 1);
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
        // Ten queries of one part are twenty requests. The budget allows two retries, plus a tenth
        // for each request.
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
            // outcomes of the two parts (null: stays pending), attempts of the first part, final
            // answer
            {AttemptOutcome.RESET, AttemptOutcome.COMPLETED, 2, List.of()},
            {AttemptOutcome.RESET, null, 1, List.of()},
            {AttemptOutcome.RESET, AttemptOutcome.RESET, 1, List.of("rejected")},
            {AttemptOutcome.ERROR, null, 2, List.of()},
        };
    }

    /**
     * A query that crashes each server that starts one of its parts must not be sent to the next
     * replica.
     */
    @Test(dataProvider = "resetParts")
    public void partWithConnectionResetIsRetriedOnlyAfterAnotherPartCompletes(
            AttemptOutcome firstOutcome,
            AttemptOutcome secondOutcome,
            int expectedAttempts,
            List<String> expectedAnswers) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 2, 4000);
        fixture.endAttempt("s/0", 0, firstOutcome);
        fixture.waitFor(50);
        if (secondOutcome != null) {
            fixture.endAttempt("s/1", 0, secondOutcome);
        }
        fixture.waitFor(50);
        assertEquals(fixture.serversByPart().get("s/0").size(), expectedAttempts);
        assertEquals(fixture.finalAnswers(), expectedAnswers);
    }
}
