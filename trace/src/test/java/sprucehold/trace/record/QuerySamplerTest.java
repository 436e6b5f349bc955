package sprucehold.trace.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.format.Samples;

public class QuerySamplerTest {
    private long seq;

    private PolicyCall policyCall(double now, List<Event> events, List<Command> commands) {
        return PolicyCall.of(0, seq++, now, events, commands, false);
    }

    private PolicyCall received(String id, long number, double now) {
        return policyCall(
                now,
                List.of(
                        new Event.QueryReceived(id, number, Samples.IDEMPOTENT_CLASS, null, 4000),
                        new Event.PartReceived(id + ".0", number, 0, 1)),
                List.of(
                        new Command.SendAttempt(id + ".0", "s", 3000),
                        new Command.ScheduleWakeUp(3)));
    }

    private PolicyCall ended(String id, double now, Command end) {
        return policyCall(
                now,
                List.of(
                        new Event.AttemptEnded(id + ".0", 0, AttemptOutcome.COMPLETED, 10, null),
                        new Event.WakeUp()),
                List.of(end));
    }

    @DataProvider
    Object[][] finalCommands() {
        return new Object[][] {
            // final command, time from receipt to the end in ms, whether the query is always kept
            {new Command.AnswerQuery("s", true, Reason.COMPLETE), 100, false},
            {new Command.AnswerQuery("s", true, Reason.COMPLETE), 1201, true},
            {new Command.AnswerQuery("s", false, Reason.LATENCY_OBJECTIVE), 100, true},
            {new Command.RejectQuery("s", 0, Reason.NO_CAPACITY), 1, true},
            {new Command.FailQuery("s", Reason.DEADLINE), 100, true},
        };
    }

    @Test(dataProvider = "finalCommands")
    public void onlyQueryThatEndedBadlyOrLateIsKeptWhole(Command end, int elapsedMs, boolean kept) {
        // The rate is so low that the query is not kept as the one in n.
        var sampler = new QuerySampler(Integer.MAX_VALUE);
        var released = new ArrayList<Entry>();
        released.addAll(sampler.add(received("s", 1, 0)));
        assertTrue(released.isEmpty());
        released.addAll(sampler.add(ended("s", elapsedMs, end)));
        released.addAll(sampler.finish());
        List<Item> items =
                released.stream().flatMap(entry -> ((PolicyCall) entry).items().stream()).toList();
        assertEquals(items.size(), kept ? 5 : 0, items.toString());
        assertEquals(sampler.retainedObjects(), 0);
    }

    @Test
    public void oneInNOfTheOtherQueriesIsKeptWholeAndInOrder() {
        var sampler = new QuerySampler(10);
        var released = new ArrayList<Entry>();
        for (int i = 0; i < 2000; i++) {
            released.addAll(sampler.add(received("scan-" + i, i + 1, i)));
            if (i >= 3) {
                String endedId = "scan-" + (i - 3);
                released.addAll(
                        sampler.add(
                                ended(
                                        endedId,
                                        i,
                                        new Command.AnswerQuery(endedId, true, Reason.COMPLETE))));
            }
        }
        released.addAll(sampler.finish());
        Set<String> receivedIds = new HashSet<>();
        Set<String> answeredIds = new HashSet<>();
        long previousSeq = -1;
        for (Entry entry : released) {
            assertTrue(entry.seq() > previousSeq);
            previousSeq = entry.seq();
            for (Item item : ((PolicyCall) entry).items()) {
                if (item.event() instanceof Event.QueryReceived queryReceived) {
                    receivedIds.add(queryReceived.id());
                } else if (item.command() instanceof Command.AnswerQuery answer) {
                    answeredIds.add(answer.queryId());
                }
            }
        }
        // Three queries had not ended at the end of the recording.
        assertTrue(
                receivedIds.containsAll(answeredIds)
                        && receivedIds.size() <= answeredIds.size() + 3);
        assertTrue(
                answeredIds.size() > 120 && answeredIds.size() < 280,
                answeredIds.size() + " of 2000");
    }

    @Test
    public void gapKeepsItsPlaceAmongTheEntries() {
        var sampler = new QuerySampler(3);
        sampler.add(received("s", 1, 0));
        sampler.add(new Gap(0, seq++, 1, 1, 1));
        List<Entry> released =
                sampler.add(ended("s", 5000, new Command.AnswerQuery("s", true, Reason.COMPLETE)));
        assertEquals(
                released.stream().map(Entry::getClass).toList(),
                List.of(PolicyCall.class, Gap.class, PolicyCall.class));
    }

    @Test
    public void entriesOfQueriesThatNeverEndAreReleasedBeyondTheBound() {
        var sampler = new QuerySampler(1000);
        int releasedCount = 0;
        for (int i = 0; i < 60_000; i++) {
            releasedCount += sampler.add(received("scan-" + i, i + 1, i)).size();
        }
        assertEquals(releasedCount, 60_000 - 20_000);
        assertTrue(sampler.retainedObjects() <= 200_000, sampler.retainedObjects() + " retained");
    }
}
