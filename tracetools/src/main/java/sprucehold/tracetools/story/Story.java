package sprucehold.tracetools.story;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.book.ScanBook;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;

/**
 * All that a trace holds of one scan, in order.
 *
 * @param lines what happened and was done
 * @param gaps gaps of its gatherer that fall into its time
 */
public record Story(ScanTally tally, List<Line> lines, List<Gap> gaps) {
    /** One event or action, and when, by the gatherer's clock. */
    public record Line(long seq, double nowMs, Item item) {}

    /** Collects the stories of all scans of one id: an id may come again. */
    public static final class Collector {
        private final String id;
        private final ScanBook book = new ScanBook();
        private final Map<BookedScan, Story> stories = new LinkedHashMap<>();

        public Collector(String id) {
            this.id = id;
        }

        public void add(Entry entry) {
            if (entry instanceof Gap gap) {
                stories.values().stream()
                        .filter(
                                story ->
                                        story.tally.scan().source() == gap.source()
                                                && !story.tally.scan().ended())
                        .forEach(story -> story.gaps.add(gap));
            } else if (entry instanceof Moment moment) {
                for (Item item : moment.items()) {
                    BookedScan scan = book.add(moment.source(), moment.nowMs(), item);
                    if (scan != null && scan.taken().id().equals(id)) {
                        Story story =
                                stories.computeIfAbsent(
                                        scan,
                                        none ->
                                                new Story(
                                                        new ScanTally(scan),
                                                        new ArrayList<>(),
                                                        new ArrayList<>()));
                        story.tally.add(moment.nowMs(), item);
                        story.lines.add(new Line(moment.seq(), moment.nowMs(), item));
                    }
                }
            }
        }

        public List<Story> stories() {
            return List.copyOf(stories.values());
        }
    }
}
