package sprucehold.trace.record;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.book.ScanBook;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;

/**
 * Keeps every scan that ended badly or late whole, and one in n of the others. Entries go in and
 * come out in the same order; an entry waits until all its scans have ended. Pure: no files, clocks
 * or threads.
 */
public final class Thinning {
    /**
     * Entries that may wait. Guards against scans that never end, as after a gap; at a thousand
     * calls a second it is longer than any query timeout. What is pushed out undecided is kept.
     */
    private static final int MOST_WAITING = 20_000;

    private final int oneIn;
    private final ScanBook book = new ScanBook();
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    private final Map<BookedScan, Fate> fates = new HashMap<>();

    private static final class Fate {
        boolean known;
        boolean kept;
        int mentions;
    }

    private record Held(Entry entry, List<BookedScan> scans) {}

    /**
     * @param oneIn 1 or more; of the scans that ended well and in time, one in so many is kept
     */
    public Thinning(int oneIn) {
        this.oneIn = oneIn;
    }

    /** Takes the next entry, and returns those that are decided by now. */
    public List<Entry> add(Entry entry) {
        if (!(entry instanceof Moment moment)) {
            held.add(new Held(entry, List.of()));
            return release(false);
        }
        var scans = new ArrayList<BookedScan>(moment.items().size());
        for (Item item : moment.items()) {
            BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
            scans.add(scan);
            if (scan != null) {
                Fate fate = fates.computeIfAbsent(scan, none -> new Fate());
                fate.mentions++;
                decide(fate, scan, item, moment.nowMs());
            }
        }
        held.add(new Held(moment, scans));
        return release(false);
    }

    /** Returns all that waits; scans that have not ended are kept. */
    public List<Entry> end() {
        return release(true);
    }

    private void decide(Fate fate, BookedScan scan, Item item, double nowMs) {
        if (fate.known || !scan.ended()) {
            return;
        }
        fate.known = true;
        boolean well =
                item.action() instanceof Command.AnswerQuery answer
                        && answer.complete()
                        && nowMs <= scan.takenMs() + scan.taken().queryClass().latencyObjectiveMs();
        fate.kept = !well || Math.floorMod(scan.taken().id().hashCode(), oneIn) == 0;
    }

    private List<Entry> release(boolean all) {
        var released = new ArrayList<Entry>();
        while (!held.isEmpty() && (all || held.size() > MOST_WAITING || decided(held.peek()))) {
            Held first = held.poll();
            Entry kept = kept(first);
            if (kept != null) {
                released.add(kept);
            }
            for (BookedScan scan : first.scans) {
                Fate fate = scan == null ? null : fates.get(scan);
                // A late end of a dispatch may still come where one is out.
                if (fate != null && --fate.mentions == 0 && scan.ended() && scan.out() <= 0) {
                    fates.remove(scan);
                }
            }
        }
        return released;
    }

    private boolean decided(Held entry) {
        return entry.scans.stream().allMatch(scan -> scan == null || fates.get(scan).known);
    }

    private Entry kept(Held one) {
        if (one.entry instanceof Gap) {
            return one.entry;
        }
        Moment moment = (Moment) one.entry;
        var items = new ArrayList<Item>();
        for (int i = 0; i < moment.items().size(); i++) {
            Item item = moment.items().get(i);
            BookedScan scan = one.scans.get(i);
            Fate fate = scan == null ? null : fates.get(scan);
            // What merely passes the time is most of a quiet file, and tells nothing without the
            // rest.
            boolean time =
                    item.event() instanceof Event.WakeUp
                            || item.action() instanceof Command.ScheduleWakeUp;
            if (!time && (fate == null || !fate.known || fate.kept)) {
                items.add(item);
            }
        }
        return items.isEmpty() && !moment.failed() ? null : moment.withItems(items);
    }

    /** How many entries wait, and how many scans are remembered. */
    int waiting() {
        return held.size() + fates.size();
    }
}
