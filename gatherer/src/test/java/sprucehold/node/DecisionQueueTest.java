package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucehold.coordinator.Commands;

public class DecisionQueueTest {
    private final List<String> calls = new ArrayList<>();
    private double now;

    @BeforeMethod
    public void setUp() {
        calls.clear();
        now = 0;
    }

    private Supplier<Commands> call(String name, double durationMs) {
        return () -> {
            calls.add(name);
            now += durationMs;
            return null;
        };
    }

    private void runTurn(DecisionQueue queue) {
        queue.beginTurn(now);
        for (Supplier<Commands> call = queue.next(now); call != null; call = queue.next(now)) {
            assertNull(call.get());
        }
    }

    @Test
    public void callsBeyondMaximumTurnDurationRunInNextTurn() {
        var queue = new DecisionQueue();
        queue.add(call("a", DecisionQueue.MAX_TURN_MS - 1));
        queue.add(call("b", 1));
        queue.add(call("c", 1));
        runTurn(queue);
        assertEquals(calls, List.of("a", "b"));
        runTurn(queue);
        assertEquals(calls, List.of("a", "b", "c"));
        assertTrue(queue.isEmpty());
    }

    @Test
    public void eachTurnRunsAtLeastOneCallHoweverLong() {
        var queue = new DecisionQueue();
        queue.add(call("a", 100));
        queue.add(call("b", 100));
        runTurn(queue);
        assertEquals(calls, List.of("a"));
        queue.beginTurn(now);
        assertNotNull(queue.next(now));
        assertNull(queue.next(now));
    }
}
