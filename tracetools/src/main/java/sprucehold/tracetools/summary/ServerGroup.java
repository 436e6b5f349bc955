package sprucehold.tracetools.summary;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import sprucehold.port.Ending;
import sprucehold.port.PassedOver;

/** Figures of one shard server. */
public final class ServerGroup {
    private final Histogram took = new Histogram(2);
    private final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
    private final Map<PassedOver.Cause, Long> passedOver = new EnumMap<>(PassedOver.Cause.class);
    private long dispatches;

    void dispatched() {
        dispatches++;
    }

    void ended(Ending ending, double tookMs) {
        endings.merge(ending, 1L, Long::sum);
        if (ending == Ending.COMPLETED) {
            took.recordValue(Math.max(0, Math.round(tookMs * 1000)));
        }
    }

    void passedOver(PassedOver.Cause cause) {
        passedOver.merge(cause, 1L, Long::sum);
    }

    public long dispatches() {
        return dispatches;
    }

    public long of(Ending ending) {
        return endings.getOrDefault(ending, 0L);
    }

    /** How often it was passed over for what. */
    public Map<PassedOver.Cause, Long> passedOver() {
        return passedOver;
    }

    /** A percentile of the times of completed parts, in milliseconds; NaN where there are none. */
    public double percentileMs(double percentile) {
        return took.getTotalCount() == 0
                ? Double.NaN
                : took.getValueAtPercentile(percentile) / 1000.0;
    }
}
