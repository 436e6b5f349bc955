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
    private final List<String> made = new ArrayList<>();
    private double now;

    @BeforeMethod
    public void begin() {
        made.clear();
        now = 0;
    }

    private Supplier<Commands> call(String name, double tookMs) {
        return () -> {
            made.add(name);
            now += tookMs;
            return null;
        };
    }

    private void turn(DecisionQueue queue) {
        queue.beginTurn(now);
        for (Supplier<Commands> call = queue.next(now); call != null; call = queue.next(now)) {
            assertNull(call.get());
        }
    }

    @Test
    public void turnThatHasLastedLongEnoughLeavesTheRestToTheNext() {
        var queue = new DecisionQueue();
        queue.add(call("a", DecisionQueue.MAX_TURN_MS - 1));
        queue.add(call("b", 1));
        queue.add(call("c", 1));
        turn(queue);
        assertEquals(made, List.of("a", "b"));
        turn(queue);
        assertEquals(made, List.of("a", "b", "c"));
        assertTrue(queue.isEmpty());
    }

    @Test
    public void eachTurnMakesACallHoweverLongItTakes() {
        var queue = new DecisionQueue();
        queue.add(call("a", 100));
        queue.add(call("b", 100));
        turn(queue);
        assertEquals(made, List.of("a"));
        queue.beginTurn(now);
        assertNotNull(queue.next(now));
        assertNull(queue.next(now));
    }
}
