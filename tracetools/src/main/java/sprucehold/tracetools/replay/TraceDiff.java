package sprucehold.tracetools.replay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.explanation.Times;

/** Finds where two traces of the same day begin to differ. */
public final class TraceDiff {
    private TraceDiff() {}

    /**
     * The first difference between the entries of one gatherer.
     *
     * @param gatherer name of the gatherer
     * @param seq number of the call that differs
     * @param nowMs time of the call by the gatherer's clock, in milliseconds
     * @param description contents of the first and of the second file at the difference
     */
    public record Difference(String gatherer, long seq, double nowMs, String description) {
        @Override
        public String toString() {
            return "gatherer "
                    + gatherer
                    + ", call "
                    + seq
                    + " at "
                    + Times.iso(nowMs)
                    + ": "
                    + description;
        }
    }

    /**
     * Returns the first difference of each gatherer, the earliest first. Gatherers are matched by
     * name. A gatherer that only one file contains counts as a difference.
     *
     * @return an empty list if both files contain the same entries
     */
    public static List<Difference> diff(TraceReader a, TraceReader b) throws IOException {
        var differences = new ArrayList<Difference>();
        for (int i = 0; i < a.header().sources().size(); i++) {
            Source source = a.header().sources().get(i);
            int other = -1;
            for (int j = 0; j < b.header().sources().size(); j++) {
                other =
                        b.header().sources().get(j).gatherer().equals(source.gatherer())
                                ? j
                                : other;
            }
            if (other < 0) {
                differences.add(
                        new Difference(
                                source.gatherer(),
                                0,
                                source.startedMs(),
                                "only the first file holds it"));
                continue;
            }
            Difference difference = diff(source, a.allOf(i), b.allOf(other));
            if (difference != null) {
                differences.add(difference);
            }
        }
        for (Source source : b.header().sources()) {
            if (a.header().sources().stream()
                    .noneMatch(candidate -> candidate.gatherer().equals(source.gatherer()))) {
                differences.add(
                        new Difference(
                                source.gatherer(),
                                0,
                                source.startedMs(),
                                "only the second file holds it"));
            }
        }
        differences.sort(Comparator.comparingDouble(Difference::nowMs));
        return differences;
    }

    private static Difference diff(Source source, TraceCursor a, TraceCursor b) throws IOException {
        while (true) {
            Entry one = a.next();
            Entry other = b.next();
            if (one == null && other == null) {
                return null;
            }
            if (one == null || other == null) {
                Entry remaining = one == null ? other : one;
                return new Difference(
                        source.gatherer(),
                        remaining.seq(),
                        remaining.nowMs(),
                        "the " + (one == null ? "first" : "second") + " file ends before it");
            }
            String difference = describeDifference(one, other);
            if (difference != null) {
                return new Difference(source.gatherer(), one.seq(), one.nowMs(), difference);
            }
        }
    }

    private static String describeDifference(Entry one, Entry other) {
        if (one.withSource(0).equals(other.withSource(0))) {
            return null;
        }
        if (!(one instanceof PolicyCall a) || !(other instanceof PolicyCall b)) {
            return "the first has " + one + ", the second " + other;
        }
        // Events precede commands, so the first item that differs is the cause of the others.
        for (int i = 0; i < Math.max(a.items().size(), b.items().size()); i++) {
            Item first = i < a.items().size() ? a.items().get(i) : null;
            Item second = i < b.items().size() ? b.items().get(i) : null;
            if (!Objects.equals(first, second)) {
                return describe(first) + " in the first, " + describe(second) + " in the second";
            }
        }
        return "call "
                + a.seq()
                + " at "
                + Times.iso(a.nowMs())
                + " in the first, call "
                + b.seq()
                + " at "
                + Times.iso(b.nowMs())
                + " in the second";
    }

    private static String describe(Item item) {
        return item == null
                ? "nothing more"
                : item.event() != null ? "event " + item.event() : "action " + item.command();
    }
}
