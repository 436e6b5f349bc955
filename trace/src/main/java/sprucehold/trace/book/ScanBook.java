package sprucehold.trace.book;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.trace.event.Item;

/** Tells, item by item in the order of a source, which scan each belongs to. */
public final class ScanBook {
    /**
     * Scans held at most for each source. Guards against traces with gaps, whose scans never end; a
     * gatherer that holds 1,024 descriptors has far fewer open.
     */
    private static final int MOST = 100_000;

    private final List<Shelf> shelves = new ArrayList<>();
    private String server;

    private static final class Shelf {
        /** In the order in which they were taken. */
        final Map<Long, BookedScan> byNumber = new LinkedHashMap<>();

        final Map<String, BookedScan> byId = new HashMap<>();
        final Map<String, BookedScan.BookedPart> parts = new HashMap<>();
    }

    /** Takes the next item of a source; null where it belongs to no scan that is known. */
    public BookedScan add(int source, double nowMs, Item item) {
        while (shelves.size() <= source) {
            shelves.add(new Shelf());
        }
        server = null;
        Shelf shelf = shelves.get(source);
        return item.event() != null
                ? add(shelf, source, nowMs, item.event())
                : add(shelf, item.action());
    }

    /** The shard server that the item last added was about, or null. */
    public String server() {
        return server;
    }

    /** How many scans are held for a source. */
    public int held(int source) {
        return source < shelves.size() ? shelves.get(source).byNumber.size() : 0;
    }

    private BookedScan add(Shelf shelf, int source, double nowMs, Event event) {
        if (event instanceof Event.QueryReceived taken) {
            if (shelf.byNumber.size() >= MOST) {
                remove(shelf, shelf.byNumber.values().iterator().next());
            }
            var scan = new BookedScan(source, taken, nowMs);
            shelf.byNumber.put(taken.number(), scan);
            shelf.byId.put(taken.id(), scan);
            return scan;
        } else if (event instanceof Event.PartReceived taken) {
            BookedScan scan = shelf.byNumber.get(taken.queryNumber());
            if (scan != null) {
                var part = new BookedScan.BookedPart(scan);
                scan.parts.put(taken.id(), part);
                shelf.parts.put(taken.id(), part);
            }
            return scan;
        } else if (event instanceof Event.AttemptEnded ended) {
            BookedScan.BookedPart part = shelf.parts.get(ended.partId());
            if (part == null) {
                return null;
            }
            server =
                    ended.attemptNumber() < part.servers.size()
                            ? part.servers.get(ended.attemptNumber())
                            : null;
            part.scan.out--;
            return settled(shelf, part.scan);
        } else if (event instanceof Event.ClientDisconnected left) {
            return ended(shelf, shelf.byId.get(left.queryId()));
        } else if (event instanceof Event.HealthCheckEnded ended) {
            server = ended.server();
        }
        return null;
    }

    private BookedScan add(Shelf shelf, Command command) {
        if (command instanceof Command.SendAttempt sendAttempt) {
            server = sendAttempt.server();
            BookedScan.BookedPart part = shelf.parts.get(sendAttempt.partId());
            if (part == null) {
                return null;
            }
            part.servers.add(sendAttempt.server());
            part.scan.out++;
            return part.scan;
        } else if (command instanceof Command.CancelAttempt cancel) {
            BookedScan.BookedPart part = shelf.parts.get(cancel.partId());
            if (part == null) {
                return null;
            }
            server =
                    cancel.attemptNumber() < part.servers.size()
                            ? part.servers.get(cancel.attemptNumber())
                            : null;
            return part.scan;
        } else if (command instanceof Command.AnswerQuery answer) {
            BookedScan scan = shelf.byId.get(answer.queryId());
            if (scan != null
                    && answer.complete()
                    && !scan.secondStep
                    && scan.taken().queryClass().secondStepParts() > 0) {
                scan.secondStep = true;
                return scan;
            }
            return ended(shelf, scan);
        } else if (command instanceof Command.RejectQuery throttle) {
            return ended(shelf, shelf.byId.get(throttle.queryId()));
        } else if (command instanceof Command.FailQuery abandon) {
            return ended(shelf, shelf.byId.get(abandon.queryId()));
        } else if (command instanceof Command.CheckHealth probe) {
            server = probe.server();
        }
        return null;
    }

    private static BookedScan ended(Shelf shelf, BookedScan scan) {
        if (scan != null) {
            scan.ended = true;
            shelf.byId.remove(scan.taken().id(), scan);
            settled(shelf, scan);
        }
        return scan;
    }

    private static BookedScan settled(Shelf shelf, BookedScan scan) {
        if (scan.ended && scan.out <= 0) {
            remove(shelf, scan);
        }
        return scan;
    }

    private static void remove(Shelf shelf, BookedScan scan) {
        shelf.byNumber.remove(scan.taken().number(), scan);
        shelf.byId.remove(scan.taken().id(), scan);
        scan.parts.forEach((id, part) -> shelf.parts.remove(id, part));
    }
}
