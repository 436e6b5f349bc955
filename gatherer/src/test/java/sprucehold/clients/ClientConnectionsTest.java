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

/** Tests when clients' connections are closed, without sockets. */
public class ClientConnectionsTest {
    /** Time that each connection may have waited in the listen backlog, in milliseconds. */
    private static final double BACKLOG_MS = 30;

    private double now;
    private final List<String> closes = new ArrayList<>();
    private ClientConnections<String> connections;

    @BeforeMethod
    public void open() {
        now = 0;
        unread = null;
        closes.clear();
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
                                closes.add("shut " + connection);
                            }

                            @Override
                            public void closeNow(String connection) {
                                closes.add("cut " + connection);
                            }
                        });
    }

    /** Connection on which a complete request is unread, or null. */
    private String unread;

    /**
     * Runs one step: a call on the connections, with the connection's name after it, or an advance
     * of the clock by a number of milliseconds. "shut" in {@link #closes} is a lingering close, and
     * "cut" an immediate one.
     */
    private void step(String step) {
        String[] words = step.split(" ", -1);
        String c = words.length > 1 ? words[1] : "";
        switch (words[0]) {
            case "open" -> connections.opened(c, now - BACKLOG_MS);
            case "head" -> connections.requestBegun(c);
            case "whole" -> connections.requestReceived(c);
            case "answered" -> connections.answered(c);
            case "overflow" -> connections.inputOverflowed(c);
            case "lastAnswer" -> connections.lastAnswerBegun(c);
            case "close" -> connections.close(c);
            case "serverClose" -> connections.closingByHttpServer(c);
            case "closed" -> connections.closed(c);
            case "closeSurplus" -> connections.closeSurplus();
            case "unread" -> unread = c;
            case "sweep" -> connections.markOverdue();
            case "markIdle" -> connections.markIdle();
            case "closeMarked" -> connections.closeMarked();
            default -> now += Double.parseDouble(words[0]);
        }
    }

    @DataProvider
    Object[][] scenarios() {
        return new Object[][] {
            // Steps, where a number is the elapsed time in milliseconds; then the expected closes.
            {"open a, 2499, sweep, closeMarked", ""},
            {"open a, 2500, sweep, closeMarked", "shut a"},
            {"open a, head a, 2500, sweep, closeMarked", "shut a"},
            {"open a, 2500, sweep, head a, whole a, closeMarked", ""},
            {"open a, head a, whole a, 9000, sweep, closeMarked", ""},
            {"open a, head a, whole a, answered a, 19999, sweep, closeMarked", ""},
            {"open a, head a, whole a, answered a, 20000, sweep, closeMarked", "shut a"},
            {"open a, head a, whole a, answered a, 20000, sweep, head a, closeMarked", ""},
            {"open a, head a, whole a, answered a, 20000, sweep, unread a, closeMarked", ""},
            {"open a, 2500, sweep, unread a, closeMarked", ""},
            {
                "open a, open b, open c, head a, whole a, answered a, 2000, sweep, closeMarked",
                "shut a"
            },
            {"open a, head a, whole a, answered a, markIdle, closeMarked", "shut a"},
            {"open a, head a, whole a, answered a, markIdle, head a, closeMarked", ""},
            {"open a, head a, whole a, markIdle, closeMarked", ""},
            {"open a, open b, open c, open d, open e, closeSurplus", "shut a"},
            {
                "open a, open b, open c, open d, open e, closeSurplus, open f, closeSurplus",
                "shut a, cut a, shut b"
            },
            {"open a, open b, open c, open d, open e, unread a, closeSurplus", ""},
            {
                "open a, head a, whole a, answered a, open b, head b, whole b, open c, head c, whole c, open d, head d, whole d, "
                        + "open e, head e, whole e, 2000, unread a, closeSurplus",
                ""
            },
            {
                "open a, head a, whole a, answered a, open b, head b, whole b, open c, head c, whole c, open d, head d, whole d, "
                        + "open e, head e, whole e, 2000, closeSurplus",
                "shut a"
            },
            {
                "open a, open b, open c, open d, open e, closeSurplus, closed a, closeSurplus",
                "shut a"
            },
            {"open a, head a, whole a, open b, open c, open d, open e, closeSurplus", "shut b"},
            {"open a, head a, whole a, lastAnswer a, 2499, sweep, closeMarked", ""},
            {"open a, head a, whole a, lastAnswer a, 2500, sweep, closeMarked", "shut a"},
            {"open a, head a, whole a, lastAnswer a, close a, close a", "shut a"},
            {"open a, head a, whole a, overflow a, 9000, sweep, closeMarked", ""},
            {"open a, head a, whole a, answered a, overflow a", "shut a"},
            {"open a, head a, whole a, answered a, serverClose a, markIdle, closeMarked", ""},
            {"open a, serverClose a, open b, open c, open d, open e, closeSurplus", "cut a"},
            {"open a, close a, closed a, close a, 9000, sweep, closeMarked", "shut a"},
        };
    }

    @Test(dataProvider = "scenarios")
    public void connectionsAreClosedWhenOverdueIdleOrSurplusAndNotEarlier(
            String steps, String expectedCloses) {
        for (String step : steps.split(", ", -1)) {
            step(step);
        }
        assertEquals(String.join(", ", closes), expectedCloses);
    }

    @DataProvider
    Object[][] inputStates() {
        return new Object[][] {
            {"open a", true},
            {"open a, head a, whole a, answered a", true},
            {"open a, overflow a", false},
            {"open a, head a, whole a, lastAnswer a", false},
            {"open a, close a", false},
            {"open a, closed a", false},
        };
    }

    @Test(dataProvider = "inputStates")
    public void requestsAfterTheLastAnswerAreIgnored(String steps, boolean accepted) {
        for (String step : steps.split(", ", -1)) {
            step(step);
        }
        assertEquals(connections.requestBegun("a"), accepted);
        assertEquals(connections.isInputIgnored("a"), !accepted);
    }

    @DataProvider
    Object[][] arriving() {
        return new Object[][] {
            {"open a", 1},
            {"open a, 20", 0},
            {"open a, head a, 2000", 1},
            {"open a, head a, whole a", 0},
            {"open a, head a, whole a, answered a", 0},
            {"open a, head a, closed a", 0},
            {"open a, open b, head b, 15", 2},
        };
    }

    @Test(dataProvider = "arriving")
    public void arrivingRequestsAreCounted(String steps, int arriving) {
        for (String step : steps.split(", ", -1)) {
            step(step);
        }
        assertEquals(connections.arriving(), arriving);
    }

    @Test
    public void arrivalTimeIsKeptAcrossRequests() {
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
     * For events in random order: no connection is closed twice, none is closed at once without an
     * earlier lingering close, and none stays registered.
     */
    @Test
    public void eventsInRandomOrderCloseEachConnectionOnce() {
        String[] events = {
            "open",
            "head",
            "whole",
            "answered",
            "overflow",
            "lastAnswer",
            "close",
            "serverClose",
            "closed",
            "closeSurplus",
            "sweep",
            "markIdle",
            "closeMarked",
            "700"
        };
        for (long seed = 0; seed < 300; seed++) {
            open();
            var random = new Random(seed);
            var opened = new ArrayList<String>();
            var closedByServer = new HashSet<String>();
            for (int i = 0; i < 200; i++) {
                String event = events[random.nextInt(events.length)];
                String c =
                        event.equals("open")
                                ? "c" + opened.size()
                                : opened.isEmpty()
                                        ? "c0"
                                        : opened.get(random.nextInt(opened.size()));
                if (event.equals("open")) {
                    opened.add(c);
                }
                if (event.equals("serverClose")) {
                    closedByServer.add(c);
                }
                step(
                        event.matches("closeSurplus|sweep|markIdle|closeMarked|700")
                                ? event
                                : event + " " + c);
            }
            assertEquals(
                    closes.stream().distinct().count(),
                    closes.size(),
                    "seed " + seed + ": " + closes);
            for (String end : closes) {
                // A connection closed at once was being closed before, by the gatherer or at its
                // client's request.
                assertTrue(
                        !end.startsWith("cut")
                                || closes.contains(end.replace("cut", "shut"))
                                || closedByServer.contains(end.substring(4)),
                        "seed " + seed);
            }
            opened.forEach(c -> step("closed " + c));
            assertEquals(connections.size(), 0, "seed " + seed);
        }
    }
}
