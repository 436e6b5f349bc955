package sprucehold.trace.book;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.port.Action;
import sprucehold.port.Event;
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
        if (event instanceof Event.ScanTaken taken) {
            if (shelf.byNumber.size() >= MOST) {
                remove(shelf, shelf.byNumber.values().iterator().next());
            }
            var scan = new BookedScan(source, taken, nowMs);
            shelf.byNumber.put(taken.number(), scan);
            shelf.byId.put(taken.id(), scan);
            return scan;
        } else if (event instanceof Event.PartTaken taken) {
            BookedScan scan = shelf.byNumber.get(taken.scanNumber());
            if (scan != null) {
                var part = new BookedScan.BookedPart(scan);
                scan.parts.put(taken.id(), part);
                shelf.parts.put(taken.id(), part);
            }
            return scan;
        } else if (event instanceof Event.DispatchEnded ended) {
            BookedScan.BookedPart part = shelf.parts.get(ended.partId());
            if (part == null) {
                return null;
            }
            server = ended.number() < part.servers.size() ? part.servers.get(ended.number()) : null;
            part.scan.out--;
            return settled(shelf, part.scan);
        } else if (event instanceof Event.ClientLeft left) {
            return ended(shelf, shelf.byId.get(left.scanId()));
        } else if (event instanceof Event.ProbeEnded ended) {
            server = ended.server();
        }
        return null;
    }

    private BookedScan add(Shelf shelf, Action action) {
        if (action instanceof Action.Dispatch dispatch) {
            server = dispatch.server();
            BookedScan.BookedPart part = shelf.parts.get(dispatch.partId());
            if (part == null) {
                return null;
            }
            part.servers.add(dispatch.server());
            part.scan.out++;
            return part.scan;
        } else if (action instanceof Action.Cancel cancel) {
            BookedScan.BookedPart part = shelf.parts.get(cancel.partId());
            if (part == null) {
                return null;
            }
            server =
                    cancel.number() < part.servers.size()
                            ? part.servers.get(cancel.number())
                            : null;
            return part.scan;
        } else if (action instanceof Action.Answer answer) {
            BookedScan scan = shelf.byId.get(answer.scanId());
            if (scan != null
                    && answer.whole()
                    && !scan.secondStep
                    && scan.taken().type().secondStepParts() > 0) {
                scan.secondStep = true;
                return scan;
            }
            return ended(shelf, scan);
        } else if (action instanceof Action.Throttle throttle) {
            return ended(shelf, shelf.byId.get(throttle.scanId()));
        } else if (action instanceof Action.Abandon abandon) {
            return ended(shelf, shelf.byId.get(abandon.scanId()));
        } else if (action instanceof Action.Probe probe) {
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
