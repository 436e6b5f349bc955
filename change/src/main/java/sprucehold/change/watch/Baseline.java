package sprucehold.change.watch;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Service of the last minutes, kept all the time so that it is there when a version goes live. What
 * is expected of a stratum is its worst recent stretch rather than its mean: trouble that had begun
 * before must not be held against a change that came during it.
 */
public final class Baseline {
    /** Two minutes: several rounds of any trouble's ups and downs, and still today's traffic. */
    private static final double KEEP_MS = 120_000;

    /** Stretches whose worst is taken; shorter ones would make chance look like trouble. */
    private static final double STRETCH_MS = 10_000;

    /** With fewer scans a stretch says nothing by itself. */
    private static final long LEAST_SCANS = 20;

    private final ArrayDeque<TimeWindow> slots = new ArrayDeque<>();

    /** What a stratum did before: its usual and its worst share, and scans a second. */
    record Usual(double mean, double worst, double scansPerSecond, long scans) {}

    public void add(TimeWindow slot) {
        // A clock that went back leaves nothing to compare with.
        if (!slots.isEmpty() && slot.endsMs() < slots.peekLast().endsMs()) {
            slots.clear();
        }
        slots.add(slot);
        while (slots.peek().endsMs() < slot.endsMs() - KEEP_MS) {
            slots.poll();
        }
    }

    /** What each stratum did; empty where nothing was seen. */
    Map<TimeWindow.Segment, Usual> usual() {
        Map<TimeWindow.Segment, TimeWindow.Service> all = new HashMap<>();
        Map<TimeWindow.Segment, Map<Long, TimeWindow.Service>> stretches = new HashMap<>();
        if (slots.isEmpty()) {
            return Map.of();
        }
        double last = slots.peekLast().endsMs();
        double span = Math.max(1000, last - slots.peek().endsMs());
        for (TimeWindow slot : slots) {
            // Counted back from the end, so that what came last is a whole stretch.
            long stretch = (long) ((last - slot.endsMs()) / STRETCH_MS);
            slot.service()
                    .forEach(
                            (stratum, service) -> {
                                all.merge(stratum, service, TimeWindow.Service::plus);
                                stretches
                                        .computeIfAbsent(stratum, none -> new HashMap<>())
                                        .merge(stretch, service, TimeWindow.Service::plus);
                            });
        }
        Map<TimeWindow.Segment, Usual> usual = new HashMap<>();
        all.forEach(
                (stratum, service) -> {
                    double worst =
                            stretches.get(stratum).values().stream()
                                    .filter(of -> of.scans() >= LEAST_SCANS)
                                    .mapToDouble(TimeWindow.Service::share)
                                    .min()
                                    .orElse(service.share());
                    usual.put(
                            stratum,
                            new Usual(
                                    service.share(),
                                    worst,
                                    service.scans() * 1000 / span,
                                    service.scans()));
                });
        return usual;
    }
}
