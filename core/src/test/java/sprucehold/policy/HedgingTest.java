package sprucehold.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;

/** Tests when a late part gets a hedged request, and that a delayed timer marks no part as late. */
public class HedgingTest {
    @DataProvider
    Object[][] hedges() {
        return new Object[][] {
            // query class, whether other queries keep the other replica busy, attempts of the late
            // part
            {SchedulerFixture.COMPLETE_ONLY, false, 2},
            {SchedulerFixture.DEDUPLICATED, false, 2},
            {SchedulerFixture.NON_IDEMPOTENT, false, 1},
            {SchedulerFixture.COMPLETE_ONLY, true, 1},
        };
    }

    /** Hedged requests to busy servers would overload a fleet that is already at capacity. */
    @Test(dataProvider = "hedges")
    public void latePartIsHedgedOnAnIdleServerOnly(
            QueryClass queryClass, boolean busy, int expected) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", queryClass, 1, 4000);
        if (busy) {
            // With attempts pending at servers a and b, the other replica of shard 0 is busy,
            // whichever of them it is.
            for (int i = 0; i < 4; i++) {
                fixture.receive("busy" + i, SchedulerFixture.NON_IDEMPOTENT, 4, 4000);
            }
        }
        fixture.waitFor(600);
        assertEquals(fixture.serversByPart().get("s/0").size(), expected);
    }

    @Test
    public void latePartIsHedgedAsSoonAsAServerIsIdle() {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        String first = fixture.serversByPart().get("s/0").get(0);
        String other = first.equals("a") ? "b" : "a";
        fixture.receive("busy", SchedulerFixture.NON_IDEMPOTENT, 2, 4000);
        fixture.receive("busier", SchedulerFixture.NON_IDEMPOTENT, 2, 4000);
        fixture.waitFor(600);
        assertEquals(fixture.serversByPart().get("s/0"), List.of(first));
        for (Command.SendAttempt sendAttempt : fixture.all(Command.SendAttempt.class)) {
            if (sendAttempt.server().equals(other)) {
                fixture.endAttempt(sendAttempt.partId(), 0, AttemptOutcome.COMPLETED);
            }
        }
        assertEquals(fixture.serversByPart().get("s/0"), List.of(first, other));
    }

    @DataProvider
    Object[][] overtakenCases() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * A part whose server has answered attempts sent later is considered lost, so its hedged
     * request does not wait for an idle server.
     */
    @Test(dataProvider = "overtakenCases")
    public void overtakenPartIsHedgedOnABusyServer(boolean overtaken) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        String first = fixture.serversByPart().get("s/0").get(0);
        fixture.waitFor(5);
        fixture.receive("busy", SchedulerFixture.NON_IDEMPOTENT, 4, 4000);
        for (Command.SendAttempt sendAttempt : fixture.all(Command.SendAttempt.class)) {
            if (overtaken
                    && sendAttempt.server().equals(first)
                    && sendAttempt.partId().startsWith("busy")) {
                fixture.endAttempt(sendAttempt.partId(), 0, AttemptOutcome.COMPLETED);
            }
        }
        fixture.waitFor(600);
        assertEquals(fixture.serversByPart().get("s/0").size(), overtaken ? 2 : 1);
    }

    /**
     * A query of many parts may meet many slow servers at the same time, so half of its parts may
     * be hedged.
     */
    @Test
    public void largeQueryMayHedgeHalfItsParts() {
        var fixture = new SchedulerFixture();
        fixture.layout = new Deployment.ShardLayout(64, 2, 1);
        fixture.start();
        var endpoints = new ArrayList<Endpoint>();
        for (int group = 0; group < 64; group++) {
            endpoints.add(
                    SchedulerFixture.endpoint(
                            String.format("s%02d", group), group, 0, Endpoint.State.RUNNING));
        }
        fixture.decide(new Event.EndpointsUpdated(true, endpoints));
        for (int i = 0; i < 4; i++) {
            fixture.receive("warm" + i, SchedulerFixture.COMPLETE_ONLY, 64, 4000);
            fixture.serversByPart()
                    .forEach((part, sent) -> fixture.endAttempt(part, 0, AttemptOutcome.COMPLETED));
            fixture.commands.clear();
        }
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 64, 4000);
        for (int i = 0; i < 64; i++) {
            if (i % 3 != 0) {
                fixture.endAttempt("s/" + i, 0, AttemptOutcome.COMPLETED);
            }
        }
        fixture.waitFor(600);
        long hedged =
                fixture.serversByPart().values().stream().filter(sent -> sent.size() > 1).count();
        assertTrue(hedged > 15, hedged + " hedged");
    }

    @DataProvider
    Object[][] lateTimers() {
        return new Object[][] {{500, true}, {509, true}, {560, false}};
    }

    /**
     * A gatherer that was itself delayed may have unread answers. A part that seems late at that
     * moment shows nothing about the server.
     */
    @Test(dataProvider = "lateTimers")
    public void delayedTimerMarksNoPartAsLate(double wakeUpAfterMs, boolean hedged) {
        var fixture = new SchedulerFixture().start();
        fixture.receive("s", SchedulerFixture.COMPLETE_ONLY, 1, 4000);
        fixture.now += wakeUpAfterMs;
        fixture.decide(new Event.WakeUp());
        assertEquals(fixture.serversByPart().get("s/0").size(), hedged ? 2 : 1);
        fixture.now += 65;
        fixture.decide(new Event.WakeUp());
        assertEquals(fixture.serversByPart().get("s/0").size(), 2);
    }
}
