package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.clients.ConnectionArrival;

/** Tests of the event loop monitor, with a simulated clock and simulated timers. */
public class EventLoopMonitorTest {
    private record Timer(double at, Runnable work) {}

    private double now;
    private List<Timer> timers;
    private EventLoopMonitor monitor;

    @BeforeMethod
    public void setUp() {
        now = 1000;
        timers = new ArrayList<>();
        monitor =
                new EventLoopMonitor(
                        () -> now, (delayMs, work) -> timers.add(new Timer(now + delayMs, work)));
    }

    /**
     * Returns since when data may have been unread that is read on a connection which was opened
     * long ago.
     */
    private double earliestArrivalMs(double nowMs) {
        return monitor.earliestArrivalMs(nowMs, new ConnectionArrival(0, 0));
    }

    /** Simulates a pass: the sockets are read, then the expired timers fire. */
    private void pass(double at) {
        now = at;
        List<Timer> expired = timers.stream().filter(timer -> timer.at <= now).toList();
        timers.removeAll(expired);
        expired.forEach(timer -> timer.work.run());
    }

    @Test
    public void unreadSinceIsTimeOfReadWithoutStall() {
        for (int i = 1; i <= 20; i++) {
            pass(1000.0 + i * EventLoopMonitor.HEARTBEAT_MS);
        }
        assertEquals(earliestArrivalMs(1410), 1410.0);
        assertEquals(monitor.summary(), "stalls=0, longest_stall_ms=0");
    }

    @Test
    public void unreadSinceIsBeforeStallForDataReadRightAfterIt() {
        pass(1020);
        pass(1040);
        // The loop stalls from 1041 on. The pass at 1040 polled the system after 1020, when the
        // heartbeat that fired in this pass was scheduled.
        assertEquals(earliestArrivalMs(1191), 1020.0);
        pass(1191);
        // The pass at 1191 is only known to have polled after 1040, so data that it left unread may
        // be as old as that; the next pass polled after 1191.
        assertEquals(earliestArrivalMs(1192), 1040.0);
        pass(1192);
        assertEquals(earliestArrivalMs(1193), 1193.0);
    }

    @DataProvider
    Object[][] newConnections() {
        return new Object[][] {
            // Case, time of the connect, time of the accept, and expected time since when the first
            // request, which is read at 1200, may have been unread.
            {"in the backlog for longer than the loop read no sockets", 300, 1195, 300},
            {"in the backlog for less than a normal pass", 1160, 1195, 1200},
            {"accepted before the last whole pass, which found nothing to read", 300, 1170, 1200},
        };
    }

    /**
     * Case that occurs after a stall of the whole process: the loop has normal passes again before
     * the listener accepts the connection.
     */
    @Test(dataProvider = "newConnections")
    public void earliestArrivalOfNewConnectionIncludesItsTimeInBacklog(
            String testCase, double connectedSince, double openedAt, double expected) {
        pass(1020);
        pass(1150);
        for (double at = 1170; at <= 1200; at += 10) {
            pass(at);
        }
        assertEquals(
                monitor.earliestArrivalMs(1200, new ConnectionArrival(connectedSince, openedAt)),
                expected,
                testCase);
    }

    @Test
    public void summaryCountsStallsAndReportsLongest() {
        pass(1020 + EventLoopMonitor.STALL_MS - 1);
        assertEquals(monitor.summary(), "stalls=0, longest_stall_ms=0");
        pass(now + EventLoopMonitor.HEARTBEAT_MS + 150);
        pass(now + EventLoopMonitor.HEARTBEAT_MS + 130);
        assertEquals(monitor.summary(), "stalls=2, longest_stall_ms=150");
    }

    @Test
    public void afterNextPassUpdatesTimeOfLastPollBeforeWorkRuns() {
        pass(1020);
        now = 1100;
        var done = new ArrayList<Double>();
        monitor.afterNextPass(() -> done.add(earliestArrivalMs(now + 60)));
        assertTrue(done.isEmpty());
        pass(1105);
        assertEquals(done, List.of(1100.0));
    }

    @Test
    public void stoppedMonitorSchedulesNoTimer() {
        monitor.stop();
        pass(1020);
        assertTrue(timers.isEmpty());
    }
}
