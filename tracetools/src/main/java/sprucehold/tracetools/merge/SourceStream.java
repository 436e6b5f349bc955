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

/** One source's entries by rising number, put together from all inputs that hold some of them. */
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
     * @param source the index that its entries get
     */
    SourceStream(int source) {
        this.source = source;
    }

    void add(TraceReader reader, int sourceThere) throws IOException {
        inputs.add(new Input(reader.name(), reader.allOf(sourceThere)));
    }

    /** The next entry, or null at the end. */
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
        Entry whole = null;
        String of = null;
        for (Input input : inputs) {
            if (input.head != null && input.head.seq() == seq) {
                whole = whole == null ? input.head : joined(whole, of, input.head, input.name);
                of = of == null ? input.name : of;
                input.head = input.cursor.next();
            }
        }
        return whole.withSource(source);
    }

    private static Entry joined(Entry one, String of, Entry other, String name) throws IOException {
        if (one instanceof Gap && other instanceof Gap) {
            return one;
        }
        if (!(one instanceof PolicyCall a)
                || !(other instanceof PolicyCall b)
                || a.total() != b.total()
                || Double.compare(a.nowMs(), b.nowMs()) != 0
                || a.policyFailed() != b.policyFailed()) {
            throw new IOException(
                    of
                            + " and "
                            + name
                            + " hold different moments "
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
