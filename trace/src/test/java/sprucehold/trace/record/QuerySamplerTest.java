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

    private PolicyCall moment(double now, List<Event> events, List<Command> actions) {
        return PolicyCall.of(0, seq++, now, events, actions, false);
    }

    private PolicyCall taken(String id, long number, double now) {
        return moment(
                now,
                List.of(
                        new Event.QueryReceived(id, number, Samples.TYPE, null, 4000),
                        new Event.PartReceived(id + ".0", number, 0, 1)),
                List.of(
                        new Command.SendAttempt(id + ".0", "s", 3000),
                        new Command.ScheduleWakeUp(3)));
    }

    private PolicyCall ended(String id, double now, Command end) {
        return moment(
                now,
                List.of(
                        new Event.AttemptEnded(id + ".0", 0, AttemptOutcome.COMPLETED, 10, null),
                        new Event.WakeUp()),
                List.of(end));
    }

    @DataProvider
    Object[][] endings() {
        return new Object[][] {
            // how it ends, how long after it was taken, whether it is always kept
            {new Command.AnswerQuery("s", true, Reason.COMPLETE), 100, false},
            {new Command.AnswerQuery("s", true, Reason.COMPLETE), 1201, true},
            {new Command.AnswerQuery("s", false, Reason.LATENCY_OBJECTIVE), 100, true},
            {new Command.RejectQuery("s", 0, Reason.NO_CAPACITY), 1, true},
            {new Command.FailQuery("s", Reason.DEADLINE), 100, true},
        };
    }

    @Test(dataProvider = "endings")
    public void scanThatEndedBadlyOrLateIsKeptWhole(Command end, int after, boolean kept) {
        // So many that the one scan is never among the one in n by chance.
        var thinning = new QuerySampler(Integer.MAX_VALUE);
        var out = new ArrayList<Entry>();
        out.addAll(thinning.add(taken("s", 1, 0)));
        assertTrue(out.isEmpty());
        out.addAll(thinning.add(ended("s", after, end)));
        out.addAll(thinning.end());
        List<Item> items =
                out.stream().flatMap(entry -> ((PolicyCall) entry).items().stream()).toList();
        assertEquals(items.size(), kept ? 5 : 0, items.toString());
        assertEquals(thinning.waiting(), 0);
    }

    @Test
    public void oneInNOfTheOthersIsKeptWholeAndInOrder() {
        var thinning = new QuerySampler(10);
        var out = new ArrayList<Entry>();
        for (int i = 0; i < 2000; i++) {
            out.addAll(thinning.add(taken("scan-" + i, i + 1, i)));
            if (i >= 3) {
                String before = "scan-" + (i - 3);
                out.addAll(
                        thinning.add(
                                ended(
                                        before,
                                        i,
                                        new Command.AnswerQuery(before, true, Reason.COMPLETE))));
            }
        }
        out.addAll(thinning.end());
        Set<String> begun = new HashSet<>();
        Set<String> done = new HashSet<>();
        long last = -1;
        for (Entry entry : out) {
            assertTrue(entry.seq() > last);
            last = entry.seq();
            for (Item item : ((PolicyCall) entry).items()) {
                if (item.event() instanceof Event.QueryReceived taken) {
                    begun.add(taken.id());
                } else if (item.command() instanceof Command.AnswerQuery answer) {
                    done.add(answer.queryId());
                }
            }
        }
        // Three had not ended when the recording did.
        assertTrue(begun.containsAll(done) && begun.size() <= done.size() + 3);
        assertTrue(done.size() > 120 && done.size() < 280, done.size() + " of 2000");
    }

    @Test
    public void gapStaysWhereItStood() {
        var thinning = new QuerySampler(3);
        thinning.add(taken("s", 1, 0));
        thinning.add(new Gap(0, seq++, 1, 1, 1));
        List<Entry> out =
                thinning.add(ended("s", 5000, new Command.AnswerQuery("s", true, Reason.COMPLETE)));
        assertEquals(
                out.stream().map(Entry::getClass).toList(),
                List.of(PolicyCall.class, Gap.class, PolicyCall.class));
    }

    @Test
    public void scansThatNeverEndAreHeldOnlySoLong() {
        var thinning = new QuerySampler(1000);
        int released = 0;
        for (int i = 0; i < 60_000; i++) {
            released += thinning.add(taken("scan-" + i, i + 1, i)).size();
        }
        assertEquals(released, 60_000 - 20_000);
        assertTrue(thinning.waiting() <= 200_000, thinning.waiting() + " waiting");
    }
}
