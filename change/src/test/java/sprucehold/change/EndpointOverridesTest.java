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

    private static Endpoint endpoint(String server, Endpoint.State mode, double started) {
        return new Endpoint(server, 0, "z", started, mode);
    }

    private static Event.EndpointsUpdated update(boolean complete, Endpoint... servers) {
        return new Event.EndpointsUpdated(complete, List.of(servers));
    }

    @DataProvider
    Object[][] overrides() {
        return new Object[][] {
            // discovery's word, whether the operator has it out, what the module hears
            {Endpoint.State.RUNNING, false, Endpoint.State.RUNNING},
            {Endpoint.State.RUNNING, true, Endpoint.State.DRAINING},
            {Endpoint.State.DRAINING, false, Endpoint.State.DRAINING},
            {Endpoint.State.DRAINING, true, Endpoint.State.DRAINING},
            {Endpoint.State.GONE, true, Endpoint.State.GONE},
            {Endpoint.State.GONE, false, Endpoint.State.GONE},
        };
    }

    @Test(dataProvider = "overrides")
    public void stricterStateHolds(Endpoint.State discovered, boolean out, Endpoint.State seen) {
        var overrides = new EndpointOverrides();
        overrides.setDrained(out ? new TreeSet<>(List.of("s")) : new TreeSet<>(), 1);
        assertEquals(
                overrides
                        .applyTo(update(true, endpoint("s", discovered, 0)))
                        .endpoints()
                        .get(0)
                        .state(),
                seen);
    }

    @Test
    public void serverDrainedByOperatorsWhileDrainingDrainsOnAfterARollback() {
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
        List<Endpoint> back = overrides.setDrained(new TreeSet<>(), 2000);
        assertEquals(back, List.of(endpoint("s", Endpoint.State.RUNNING, 2000)));
        // Discovery repeats what it knows, and must not make the server look warm again.
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
    public void noOrderOfUpdatesAndOverridesLiftsADrain() {
        var random = new Random(4);
        for (int play = 0; play < 2000; play++) {
            var overrides = new EndpointOverrides();
            Endpoint.State[] modes = {Endpoint.State.RUNNING, Endpoint.State.RUNNING};
            var seen = new ArrayList<>(List.of(Endpoint.State.GONE, Endpoint.State.GONE));
            boolean[] out = new boolean[2];
            for (int step = 0; step < 20; step++) {
                int server = random.nextInt(2);
                List<Endpoint> said;
                if (random.nextBoolean()) {
                    modes[server] = STATES.get(random.nextInt(STATES.size()));
                    said =
                            overrides
                                    .applyTo(
                                            update(false, endpoint("s" + server, modes[server], 0)))
                                    .endpoints();
                } else {
                    out[server] = random.nextBoolean();
                    var set = new TreeSet<String>();
                    for (int i = 0; i < 2; i++) {
                        if (out[i]) {
                            set.add("s" + i);
                        }
                    }
                    said = overrides.setDrained(set, step);
                }
                said.forEach(of -> seen.set(of.server().charAt(1) - '0', of.state()));
                for (int i = 0; i < 2; i++) {
                    if (seen.get(i) == Endpoint.State.RUNNING) {
                        assertTrue(
                                modes[i] == Endpoint.State.RUNNING && !out[i],
                                "play " + play + ", step " + step);
                    }
                }
            }
        }
    }
}
