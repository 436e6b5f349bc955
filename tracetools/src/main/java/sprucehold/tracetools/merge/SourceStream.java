package sprucehold.tracetools.merge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;

/** Reads the entries of one source by rising number, combined from all inputs of the source. */
final class SourceStream {
    private final int source;
    private final List<Input> inputs = new ArrayList<>();

    private static final class Input {
        final String name;
        final TraceCursor cursor;
        Entry head;

        Input(String name, TraceCursor cursor) throws IOException {
            this.name = name;
            this.cursor = cursor;
            this.head = cursor.next();
        }
    }

    /**
     * @param source index of the source in the merged file, which its entries get
     */
    SourceStream(int source) {
        this.source = source;
    }

    void add(TraceReader reader, int sourceIndex) throws IOException {
        inputs.add(new Input(reader.name(), reader.allOf(sourceIndex)));
    }

    /** Returns the next entry, or null at the end. */
    Entry next() throws IOException {
        Input first =
                inputs.stream()
                        .filter(input -> input.head != null)
                        .min(Comparator.comparingLong(input -> input.head.seq()))
                        .orElse(null);
        if (first == null) {
            return null;
        }
        long seq = first.head.seq();
        Entry merged = null;
        String name = null;
        for (Input input : inputs) {
            if (input.head != null && input.head.seq() == seq) {
                merged = merged == null ? input.head : merge(merged, name, input.head, input.name);
                name = name == null ? input.name : name;
                input.head = input.cursor.next();
            }
        }
        return merged.withSource(source);
    }

    private static Entry merge(Entry one, String oneName, Entry other, String otherName)
            throws IOException {
        if (one instanceof Gap && other instanceof Gap) {
            return one;
        }
        if (!(one instanceof PolicyCall a)
                || !(other instanceof PolicyCall b)
                || a.total() != b.total()
                || Double.compare(a.nowMs(), b.nowMs()) != 0
                || a.policyFailed() != b.policyFailed()) {
            throw new IOException(
                    oneName
                            + " and "
                            + otherName
                            + " have different contents for call "
                            + one.seq()
                            + " of the same source");
        }
        if (a.isComplete()) {
            return a;
        }
        var items = new TreeMap<Integer, Item>();
        a.items().forEach(item -> items.put(item.index(), item));
        b.items().forEach(item -> items.put(item.index(), item));
        return a.withItems(List.copyOf(items.values()));
    }
}
