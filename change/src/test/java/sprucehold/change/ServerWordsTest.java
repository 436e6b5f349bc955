package sprucehold.change;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.change.server.ServerWords;
import sprucehold.port.Event;
import sprucehold.port.Listing;

public class ServerWordsTest {
    private static Listing listing(String server, Listing.Mode mode, double started) {
        return new Listing(server, 0, "z", started, mode);
    }

    private static Event.ListReceived news(boolean complete, Listing... servers) {
        return new Event.ListReceived(complete, List.of(servers));
    }

    @DataProvider
    Object[][] words() {
        return new Object[][] {
            // discovery's word, whether the operator has it out, what the module hears
            {Listing.Mode.RUNNING, false, Listing.Mode.RUNNING},
            {Listing.Mode.RUNNING, true, Listing.Mode.DRAINING},
            {Listing.Mode.DRAINING, false, Listing.Mode.DRAINING},
            {Listing.Mode.DRAINING, true, Listing.Mode.DRAINING},
            {Listing.Mode.GONE, true, Listing.Mode.GONE},
            {Listing.Mode.GONE, false, Listing.Mode.GONE},
        };
    }

    @Test(dataProvider = "words")
    public void stricterWordWins(Listing.Mode told, boolean out, Listing.Mode heard) {
        var words = new ServerWords();
        words.takenOut(out ? new TreeSet<>(List.of("s")) : new TreeSet<>(), 1);
        assertEquals(words.told(news(true, listing("s", told, 0))).servers().get(0).mode(), heard);
    }

    @Test
    public void serverTakenOutWhileDrainingDrainsOnWhenTheChangeIsUndone() {
        var words = new ServerWords();
        words.told(news(true, listing("s", Listing.Mode.RUNNING, 0)));
        words.told(news(false, listing("s", Listing.Mode.DRAINING, 0)));
        words.takenOut(new TreeSet<>(List.of("s")), 10);
        List<Listing> undone = words.takenOut(new TreeSet<>(), 20);
        assertEquals(undone.get(0).mode(), Listing.Mode.DRAINING);
        assertTrue(words.running().isEmpty());
    }

    @Test
    public void serverGivenBackCountsAsFreshlyStarted() {
        var words = new ServerWords();
        words.told(news(true, listing("s", Listing.Mode.RUNNING, 5)));
        words.takenOut(new TreeSet<>(List.of("s")), 1000);
        List<Listing> back = words.takenOut(new TreeSet<>(), 2000);
        assertEquals(back, List.of(listing("s", Listing.Mode.RUNNING, 2000)));
        // Discovery repeats what it knows, and must not make the server look warm again.
        assertEquals(
                words.told(news(false, listing("s", Listing.Mode.RUNNING, 5)))
                        .servers()
                        .get(0)
                        .startedAtMs(),
                2000.0);
        assertEquals(
                words.told(news(false, listing("s", Listing.Mode.RUNNING, 3000)))
                        .servers()
                        .get(0)
                        .startedAtMs(),
                3000.0);
    }

    @Test
    public void whateverIsSaidInWhateverOrderADrainIsNeverLifted() {
        var random = new Random(4);
        for (int play = 0; play < 2000; play++) {
            var words = new ServerWords();
            Listing.Mode[] modes = {Listing.Mode.RUNNING, Listing.Mode.RUNNING};
            var heard = new ArrayList<>(List.of(Listing.Mode.GONE, Listing.Mode.GONE));
            boolean[] out = new boolean[2];
            for (int step = 0; step < 20; step++) {
                int server = random.nextInt(2);
                List<Listing> said;
                if (random.nextBoolean()) {
                    modes[server] = Listing.Mode.values()[random.nextInt(3)];
                    said =
                            words.told(news(false, listing("s" + server, modes[server], 0)))
                                    .servers();
                } else {
                    out[server] = random.nextBoolean();
                    var set = new TreeSet<String>();
                    for (int i = 0; i < 2; i++) {
                        if (out[i]) {
                            set.add("s" + i);
                        }
                    }
                    said = words.takenOut(set, step);
                }
                said.forEach(of -> heard.set(of.server().charAt(1) - '0', of.mode()));
                for (int i = 0; i < 2; i++) {
                    if (heard.get(i) == Listing.Mode.RUNNING) {
                        assertTrue(
                                modes[i] == Listing.Mode.RUNNING && !out[i],
                                "play " + play + ", step " + step);
                    }
                }
            }
        }
    }
}
