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

    private static Endpoint listing(String server, Endpoint.State mode, double started) {
        return new Endpoint(server, 0, "z", started, mode);
    }

    private static Event.EndpointsUpdated news(boolean complete, Endpoint... servers) {
        return new Event.EndpointsUpdated(complete, List.of(servers));
    }

    @DataProvider
    Object[][] words() {
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

    @Test(dataProvider = "words")
    public void stricterWordWins(Endpoint.State told, boolean out, Endpoint.State heard) {
        var words = new EndpointOverrides();
        words.setDrained(out ? new TreeSet<>(List.of("s")) : new TreeSet<>(), 1);
        assertEquals(
                words.applyTo(news(true, listing("s", told, 0))).endpoints().get(0).state(), heard);
    }

    @Test
    public void serverTakenOutWhileDrainingDrainsOnWhenTheChangeIsUndone() {
        var words = new EndpointOverrides();
        words.applyTo(news(true, listing("s", Endpoint.State.RUNNING, 0)));
        words.applyTo(news(false, listing("s", Endpoint.State.DRAINING, 0)));
        words.setDrained(new TreeSet<>(List.of("s")), 10);
        List<Endpoint> undone = words.setDrained(new TreeSet<>(), 20);
        assertEquals(undone.get(0).state(), Endpoint.State.DRAINING);
        assertTrue(words.routableServers().isEmpty());
    }

    @Test
    public void serverGivenBackCountsAsFreshlyStarted() {
        var words = new EndpointOverrides();
        words.applyTo(news(true, listing("s", Endpoint.State.RUNNING, 5)));
        words.setDrained(new TreeSet<>(List.of("s")), 1000);
        List<Endpoint> back = words.setDrained(new TreeSet<>(), 2000);
        assertEquals(back, List.of(listing("s", Endpoint.State.RUNNING, 2000)));
        // Discovery repeats what it knows, and must not make the server look warm again.
        assertEquals(
                words.applyTo(news(false, listing("s", Endpoint.State.RUNNING, 5)))
                        .endpoints()
                        .get(0)
                        .startedAtMs(),
                2000.0);
        assertEquals(
                words.applyTo(news(false, listing("s", Endpoint.State.RUNNING, 3000)))
                        .endpoints()
                        .get(0)
                        .startedAtMs(),
                3000.0);
    }

    @Test
    public void whateverIsSaidInWhateverOrderADrainIsNeverLifted() {
        var random = new Random(4);
        for (int play = 0; play < 2000; play++) {
            var words = new EndpointOverrides();
            Endpoint.State[] modes = {Endpoint.State.RUNNING, Endpoint.State.RUNNING};
            var heard = new ArrayList<>(List.of(Endpoint.State.GONE, Endpoint.State.GONE));
            boolean[] out = new boolean[2];
            for (int step = 0; step < 20; step++) {
                int server = random.nextInt(2);
                List<Endpoint> said;
                if (random.nextBoolean()) {
                    modes[server] = STATES.get(random.nextInt(STATES.size()));
                    said =
                            words.applyTo(news(false, listing("s" + server, modes[server], 0)))
                                    .endpoints();
                } else {
                    out[server] = random.nextBoolean();
                    var set = new TreeSet<String>();
                    for (int i = 0; i < 2; i++) {
                        if (out[i]) {
                            set.add("s" + i);
                        }
                    }
                    said = words.setDrained(set, step);
                }
                said.forEach(of -> heard.set(of.server().charAt(1) - '0', of.state()));
                for (int i = 0; i < 2; i++) {
                    if (heard.get(i) == Endpoint.State.RUNNING) {
                        assertTrue(
                                modes[i] == Endpoint.State.RUNNING && !out[i],
                                "play " + play + ", step " + step);
                    }
                }
            }
        }
    }
}
