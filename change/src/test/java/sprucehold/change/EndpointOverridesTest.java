package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.change.override.EndpointOverrides;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

public class EndpointOverridesTest {
    private static final List<Endpoint.State> STATES =
            List.of(Endpoint.State.RUNNING, Endpoint.State.DRAINING, Endpoint.State.GONE);

    private static Endpoint endpoint(String server, Endpoint.State state, double startedAtMs) {
        return new Endpoint(server, 0, "z", startedAtMs, state);
    }

    private static Event.EndpointsUpdated update(boolean complete, Endpoint... servers) {
        return new Event.EndpointsUpdated(complete, List.of(servers));
    }

    @DataProvider
    Object[][] overrides() {
        return new Object[][] {
            // state from discovery, whether operators drained the server, state for the policy
            {Endpoint.State.RUNNING, false, Endpoint.State.RUNNING},
            {Endpoint.State.RUNNING, true, Endpoint.State.DRAINING},
            {Endpoint.State.DRAINING, false, Endpoint.State.DRAINING},
            {Endpoint.State.DRAINING, true, Endpoint.State.DRAINING},
            {Endpoint.State.GONE, true, Endpoint.State.GONE},
            {Endpoint.State.GONE, false, Endpoint.State.GONE},
        };
    }

    @Test(dataProvider = "overrides")
    public void stricterOfDiscoveryAndOverrideApplies(
            Endpoint.State discovered, boolean drained, Endpoint.State expected) {
        var overrides = new EndpointOverrides();
        overrides.setDrained(drained ? new TreeSet<>(List.of("s")) : new TreeSet<>(), 1);
        assertEquals(
                overrides
                        .applyTo(update(true, endpoint("s", discovered, 0)))
                        .endpoints()
                        .get(0)
                        .state(),
                expected);
    }

    @Test
    public void serverDrainingInDiscoveryStaysDrainingWhenOperatorsLiftTheirDrain() {
        var overrides = new EndpointOverrides();
        overrides.applyTo(update(true, endpoint("s", Endpoint.State.RUNNING, 0)));
        overrides.applyTo(update(false, endpoint("s", Endpoint.State.DRAINING, 0)));
        overrides.setDrained(new TreeSet<>(List.of("s")), 10);
        List<Endpoint> afterRollback = overrides.setDrained(new TreeSet<>(), 20);
        assertEquals(afterRollback.get(0).state(), Endpoint.State.DRAINING);
        assertTrue(overrides.routableServers().isEmpty());
    }

    @Test
    public void serverReturnedByOperatorsCountsAsFreshlyStarted() {
        var overrides = new EndpointOverrides();
        overrides.applyTo(update(true, endpoint("s", Endpoint.State.RUNNING, 5)));
        overrides.setDrained(new TreeSet<>(List.of("s")), 1000);
        List<Endpoint> returned = overrides.setDrained(new TreeSet<>(), 2000);
        assertEquals(returned, List.of(endpoint("s", Endpoint.State.RUNNING, 2000)));
        // A repeated update from discovery must not undo the server's later start time.
        assertEquals(
                overrides
                        .applyTo(update(false, endpoint("s", Endpoint.State.RUNNING, 5)))
                        .endpoints()
                        .get(0)
                        .startedAtMs(),
                2000.0);
        assertEquals(
                overrides
                        .applyTo(update(false, endpoint("s", Endpoint.State.RUNNING, 3000)))
                        .endpoints()
                        .get(0)
                        .startedAtMs(),
                3000.0);
    }

    @Test
    public void noOrderOfUpdatesAndOverridesCancelsADrain() {
        var random = new Random(4);
        for (int run = 0; run < 2000; run++) {
            var overrides = new EndpointOverrides();
            Endpoint.State[] discovered = {Endpoint.State.RUNNING, Endpoint.State.RUNNING};
            var policyStates = new ArrayList<>(List.of(Endpoint.State.GONE, Endpoint.State.GONE));
            boolean[] drained = new boolean[2];
            for (int step = 0; step < 20; step++) {
                int server = random.nextInt(2);
                List<Endpoint> updated;
                if (random.nextBoolean()) {
                    discovered[server] = STATES.get(random.nextInt(STATES.size()));
                    updated =
                            overrides
                                    .applyTo(
                                            update(
                                                    false,
                                                    endpoint("s" + server, discovered[server], 0)))
                                    .endpoints();
                } else {
                    drained[server] = random.nextBoolean();
                    var drainedServers = new TreeSet<String>();
                    for (int i = 0; i < 2; i++) {
                        if (drained[i]) {
                            drainedServers.add("s" + i);
                        }
                    }
                    updated = overrides.setDrained(drainedServers, step);
                }
                updated.forEach(
                        endpoint ->
                                policyStates.set(
                                        endpoint.server().charAt(1) - '0', endpoint.state()));
                for (int i = 0; i < 2; i++) {
                    if (policyStates.get(i) == Endpoint.State.RUNNING) {
                        assertTrue(
                                discovered[i] == Endpoint.State.RUNNING && !drained[i],
                                "run " + run + ", step " + step);
                    }
                }
            }
        }
    }
}
