package sprucehold.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When connections of clients end, without any. */
public class ClientConnectionsTest {
    /** So long each connection may have waited to be accepted. */
    private static final double BACKLOG_MS = 30;

    private double now;
    private final List<String> done = new ArrayList<>();
    private ClientConnections<String> connections;

    @BeforeMethod
    public void open() {
        now = 0;
        unread = null;
        done.clear();
        connections =
                new ClientConnections<>(
                        4,
                        () -> now,
                        new ClientConnections.Closer<>() {
                            @Override
                            public void readUnread(String connection) {
                                if (connection.equals(unread)) {
                                    unread = null;
                                    connections.requestBegun(connection);
                                    connections.requestReceived(connection);
                                }
                            }

                            @Override
                            public void close(String connection) {
                                done.add("shut " + connection);
                            }

                            @Override
                            public void closeNow(String connection) {
                                done.add("cut " + connection);
                            }
                        });
    }

    /** The connection on which a whole request lies unread. */
    private String unread;

    private void step(String step) {
        String[] words = step.split(" ", -1);
        String c = words.length > 1 ? words[1] : "";
        switch (words[0]) {
            case "open" -> connections.opened(c, now - BACKLOG_MS);
            case "head" -> connections.requestBegun(c);
            case "whole" -> connections.requestReceived(c);
            case "answered" -> connections.answered(c);
            case "flooded" -> connections.flooded(c);
            case "last" -> connections.lastAnswerBegun(c);
            case "ends" -> connections.close(c);
            case "shutting" -> connections.closingByHttpServer(c);
            case "gone" -> connections.closed(c);
            case "trim" -> connections.closeSurplus();
            case "unread" -> unread = c;
            case "sweep" -> connections.markOverdue();
            case "rests" -> connections.markIdle();
            case "settle" -> connections.closeMarked();
            default -> now += Double.parseDouble(words[0]);
        }
    }

    @DataProvider
    Object[][] days() {
        return new Object[][] {
            // What happens, or how much time passes; and what is done.
            {"open a, 2499, sweep, settle", ""},
            {"open a, 2500, sweep, settle", "shut a"},
            {"open a, head a, 2500, sweep, settle", "shut a"},
            {"open a, 2500, sweep, head a, whole a, settle", ""},
            {"open a, head a, whole a, 9000, sweep, settle", ""},
            {"open a, head a, whole a, answered a, 19999, sweep, settle", ""},
            {"open a, head a, whole a, answered a, 20000, sweep, settle", "shut a"},
            {"open a, head a, whole a, answered a, 20000, sweep, head a, settle", ""},
            {"open a, head a, whole a, answered a, 20000, sweep, unread a, settle", ""},
            {"open a, 2500, sweep, unread a, settle", ""},
            {"open a, open b, open c, head a, whole a, answered a, 2000, sweep, settle", "shut a"},
            {"open a, head a, whole a, answered a, rests, settle", "shut a"},
            {"open a, head a, whole a, answered a, rests, head a, settle", ""},
            {"open a, head a, whole a, rests, settle", ""},
            {"open a, open b, open c, open d, open e, trim", "shut a"},
            {"open a, open b, open c, open d, open e, trim, open f, trim", "shut a, cut a, shut b"},
            {"open a, open b, open c, open d, open e, unread a, trim", ""},
            {
                "open a, head a, whole a, answered a, open b, head b, whole b, open c, head c, whole c, open d, head d, whole d, "
                        + "open e, head e, whole e, 2000, unread a, trim",
                ""
            },
            {
                "open a, head a, whole a, answered a, open b, head b, whole b, open c, head c, whole c, open d, head d, whole d, "
                        + "open e, head e, whole e, 2000, trim",
                "shut a"
            },
            {"open a, open b, open c, open d, open e, trim, gone a, trim", "shut a"},
            {"open a, head a, whole a, open b, open c, open d, open e, trim", "shut b"},
            {"open a, head a, whole a, last a, 2499, sweep, settle", ""},
            {"open a, head a, whole a, last a, 2500, sweep, settle", "shut a"},
            {"open a, head a, whole a, last a, ends a, ends a", "shut a"},
            {"open a, head a, whole a, flooded a, 9000, sweep, settle", ""},
            {"open a, head a, whole a, answered a, flooded a", "shut a"},
            {"open a, head a, whole a, answered a, shutting a, rests, settle", ""},
            {"open a, shutting a, open b, open c, open d, open e, trim", "cut a"},
            {"open a, ends a, gone a, ends a, 9000, sweep, settle", "shut a"},
        };
    }

    @Test(dataProvider = "days")
    public void connectionsEndWhenTheyHoldAPlaceWithoutNeedAndNoSooner(String steps, String ends) {
        for (String step : steps.split(", ", -1)) {
            step(step);
        }
        assertEquals(String.join(", ", done), ends);
    }

    @DataProvider
    Object[][] heard() {
        return new Object[][] {
            {"open a", true},
            {"open a, head a, whole a, answered a", true},
            {"open a, flooded a", false},
            {"open a, head a, whole a, last a", false},
            {"open a, ends a", false},
            {"open a, gone a", false},
        };
    }

    @Test(dataProvider = "heard")
    public void nothingMoreIsTakenFromWhoHasHadItsLastAnswer(String steps, boolean taken) {
        for (String step : steps.split(", ", -1)) {
            step(step);
        }
        assertEquals(connections.requestBegun("a"), taken);
        assertEquals(connections.isUnheard("a"), !taken);
    }

    @DataProvider
    Object[][] arriving() {
        return new Object[][] {
            {"open a", 1},
            {"open a, 20", 0},
            {"open a, head a, 2000", 1},
            {"open a, head a, whole a", 0},
            {"open a, head a, whole a, answered a", 0},
            {"open a, head a, gone a", 0},
            {"open a, open b, head b, 15", 2},
        };
    }

    @Test(dataProvider = "arriving")
    public void requestsThatAreComingInAreCounted(String steps, int arriving) {
        for (String step : steps.split(", ", -1)) {
            step(step);
        }
        assertEquals(connections.arriving(), arriving);
    }

    @Test
    public void whenAConnectionCameStaysKnownThroughItsRequests() {
        for (String step :
                List.of("100", "open a", "head a", "whole a", "7", "answered a", "5", "head a")) {
            step(step);
            if (now > 0 && connections.size() > 0) {
                assertEquals(
                        connections.arrival("a"),
                        new ConnectionArrival(100 - BACKLOG_MS, 100),
                        step);
            }
        }
        assertEquals(connections.size(), 1);
    }

    /**
     * Whatever happens in whatever order: none is shut twice, none is cut that wasn't shut, and
     * none is forgotten.
     */
    @Test
    public void anyOrderOfEventsEndsEachConnectionOnce() {
        String[] events = {
            "open",
            "head",
            "whole",
            "answered",
            "flooded",
            "last",
            "ends",
            "shutting",
            "gone",
            "trim",
            "sweep",
            "rests",
            "settle",
            "700"
        };
        for (long seed = 0; seed < 300; seed++) {
            open();
            var chance = new Random(seed);
            var opened = new ArrayList<String>();
            var shutting = new HashSet<String>();
            for (int i = 0; i < 200; i++) {
                String event = events[chance.nextInt(events.length)];
                String c =
                        event.equals("open")
                                ? "c" + opened.size()
                                : opened.isEmpty()
                                        ? "c0"
                                        : opened.get(chance.nextInt(opened.size()));
                if (event.equals("open")) {
                    opened.add(c);
                }
                if (event.equals("shutting")) {
                    shutting.add(c);
                }
                step(event.matches("trim|sweep|rests|settle|700") ? event : event + " " + c);
            }
            assertEquals(
                    done.stream().distinct().count(), done.size(), "seed " + seed + ": " + done);
            for (String end : done) {
                // What is cut was shut before, by us or by its client's wish.
                assertTrue(
                        !end.startsWith("cut")
                                || done.contains(end.replace("cut", "shut"))
                                || shutting.contains(end.substring(4)),
                        "seed " + seed);
            }
            opened.forEach(c -> step("gone " + c));
            assertEquals(connections.size(), 0, "seed " + seed);
        }
    }
}
