package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.clients.ConnectionArrival;

/** The passes and stalls that the monitor sees, on a clock and timers of the test's own. */
public class EventLoopMonitorTest {
    private record Timer(double at, Runnable work) {}

    private double now;
    private List<Timer> timers;
    private EventLoopMonitor monitor;

    @BeforeMethod
    public void begin() {
        now = 1000;
        timers = new ArrayList<>();
        monitor =
                new EventLoopMonitor(
                        () -> now, (delayMs, work) -> timers.add(new Timer(now + delayMs, work)));
    }

    /**
     * Since when something may have lain unread that is read on a connection which the loop has
     * read for long.
     */
    private double unreadSince(double nowMs) {
        return monitor.unreadSince(nowMs, new ConnectionArrival(0, 0));
    }

    /** A pass at a moment: the sockets are read, then the timers that are due fire. */
    private void pass(double at) {
        now = at;
        List<Timer> due = timers.stream().filter(timer -> timer.at <= now).toList();
        timers.removeAll(due);
        due.forEach(timer -> timer.work.run());
    }

    @Test
    public void whatIsReadWhileTheLoopIsOnTimeLayUnreadForNoTime() {
        for (int i = 1; i <= 20; i++) {
            pass(1000.0 + i * EventLoopMonitor.HEARTBEAT_MS);
        }
        assertEquals(unreadSince(1410), 1410.0);
        assertEquals(monitor.summary(), "stalls=0, longest_stall_ms=0");
    }

    @Test
    public void whatIsReadAfterAStallMayHaveLainUnreadSinceBeforeIt() {
        pass(1020);
        pass(1040);
        // Stalled from 1041 on. The pass at 1040 asked the system after the heartbeat before it was
        // set, at 1020.
        assertEquals(unreadSince(1191), 1020.0);
        pass(1191);
        // The pass at 1191 is known to have asked after 1040 only, so what it left may be as old;
        // the next one has asked after 1191.
        assertEquals(unreadSince(1192), 1040.0);
        pass(1192);
        assertEquals(unreadSince(1193), 1193.0);
    }

    @DataProvider
    Object[][] newcomers() {
        return new Object[][] {
            // Connected since, opened at, and since when its first request that is read at 1200 may
            // have lain unread.
            {"waited to be accepted for longer than the loop did not read", 300, 1195, 300},
            {"waited as long as is on time", 1160, 1195, 1200},
            {"opened before the last whole pass, which found nothing", 300, 1170, 1200},
        };
    }

    /**
     * As after a stall of the whole process: the loop was on time again before the listener came to
     * accept.
     */
    @Test(dataProvider = "newcomers")
    public void whatIsReadFirstOnAConnectionMayHaveComeWhileItWaitedToBeAccepted(
            String which, double connectedSince, double openedAt, double expected) {
        pass(1020);
        pass(1150);
        for (double at = 1170; at <= 1200; at += 10) {
            pass(at);
        }
        assertEquals(
                monitor.unreadSince(1200, new ConnectionArrival(connectedSince, openedAt)),
                expected,
                which);
    }

    @Test
    public void stallsAreCountedAndTheLongestIsKept() {
        pass(1020 + EventLoopMonitor.STALL_MS - 1);
        assertEquals(monitor.summary(), "stalls=0, longest_stall_ms=0");
        pass(now + EventLoopMonitor.HEARTBEAT_MS + 150);
        pass(now + EventLoopMonitor.HEARTBEAT_MS + 130);
        assertEquals(monitor.summary(), "stalls=2, longest_stall_ms=150");
    }

    @Test
    public void workAfterTheNextPassKnowsThatItsPassAskedAfterItWasHandedOver() {
        pass(1020);
        now = 1100;
        var done = new ArrayList<Double>();
        monitor.afterNextPass(() -> done.add(unreadSince(now + 60)));
        assertTrue(done.isEmpty());
        pass(1105);
        assertEquals(done, List.of(1100.0));
    }

    @Test
    public void aStoppedHeartbeatSetsNoFurtherTimer() {
        monitor.stop();
        pass(1020);
        assertTrue(timers.isEmpty());
    }
}
