package sprucehold.tracetools.story;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import sprucehold.port.Action;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.PassedOver;
import sprucehold.port.Reason;
import sprucehold.trace.book.BookedScan;
import sprucehold.trace.event.Item;

/** What befell one scan, counted. */
public final class ScanTally {
    private final BookedScan scan;
    private Outcome outcome = Outcome.OPEN;
    private Reason reason = Reason.UNSTATED;
    private double endedMs = Double.NaN;
    private int parts;
    private int dispatches;
    private int copies;
    private int furtherTries;
    private final Set<String> servers = new LinkedHashSet<>();
    private final Map<Ending, Integer> endings = new EnumMap<>(Ending.class);
    private final Map<Reason, Integer> reasons = new EnumMap<>(Reason.class);
    private final Map<PassedOver.Cause, Integer> passedOver = new EnumMap<>(PassedOver.Cause.class);

    /** How a scan ended. */
    public enum Outcome {
        WHOLE("completed whole"),
        PART("completed in part"),
        THROTTLED("throttled"),
        ABANDONED("abandoned"),
        CLIENT_LEFT("client left"),
        OPEN("without an end in this file");

        private final String words;

        Outcome(String words) {
            this.words = words;
        }

        public String words() {
            return words;
        }
    }

    ScanTally(BookedScan scan) {
        this.scan = scan;
    }

    void add(double nowMs, Item item) {
        Event event = item.event();
        Action action = item.action();
        if (event instanceof Event.PartTaken) {
            parts++;
        } else if (event instanceof Event.DispatchEnded ended) {
            endings.merge(ended.ending(), 1, Integer::sum);
        } else if (event instanceof Event.ClientLeft) {
            end(Outcome.CLIENT_LEFT, Reason.CLIENT_LEFT, nowMs);
        } else if (action instanceof Action.Dispatch dispatch) {
            dispatches++;
            servers.add(dispatch.server());
            copies += dispatch.reason() == Reason.SECOND_COPY ? 1 : 0;
            furtherTries +=
                    dispatch.reason() == Reason.FURTHER_TRY || dispatch.reason() == Reason.NEVER_RAN
                            ? 1
                            : 0;
            dispatch.passedOver()
                    .forEach(passed -> passedOver.merge(passed.cause(), 1, Integer::sum));
        } else if (action instanceof Action.Answer answer && scan.ended()) {
            end(answer.whole() ? Outcome.WHOLE : Outcome.PART, answer.reason(), nowMs);
        } else if (action instanceof Action.Throttle throttle) {
            end(Outcome.THROTTLED, throttle.reason(), nowMs);
        } else if (action instanceof Action.Abandon abandon) {
            end(Outcome.ABANDONED, abandon.reason(), nowMs);
        }
        if (action != null) {
            reasons.merge(action.reason(), 1, Integer::sum);
        }
    }

    private void end(Outcome how, Reason why, double nowMs) {
        outcome = how;
        reason = why;
        endedMs = nowMs;
    }

    public BookedScan scan() {
        return scan;
    }

    public Outcome outcome() {
        return outcome;
    }

    /** Why it ended so. */
    public Reason reason() {
        return reason;
    }

    /** When it ended, by its gatherer's clock; NaN where it has not. */
    public double endedMs() {
        return endedMs;
    }

    /** From being taken to its end, in milliseconds; NaN where it has not ended. */
    public double tookMs() {
        return endedMs - scan.takenMs();
    }

    /** Whether it was completed within its target time. */
    public boolean inTargetTime() {
        return (outcome == Outcome.WHOLE || outcome == Outcome.PART)
                && tookMs() <= scan.taken().type().targetMs();
    }

    public int parts() {
        return parts;
    }

    public int dispatches() {
        return dispatches;
    }

    public int copies() {
        return copies;
    }

    public int furtherTries() {
        return furtherTries;
    }

    public Set<String> servers() {
        return servers;
    }

    /** How many of its dispatches ended how. */
    public Map<Ending, Integer> endings() {
        return endings;
    }

    /** How many of its actions were wanted why. */
    public Map<Reason, Integer> reasons() {
        return reasons;
    }

    /** How often holders were passed over for what. */
    public Map<PassedOver.Cause, Integer> passedOver() {
        return passedOver;
    }

    /** Its customer's name, or a dash where there is none. */
    public String customer() {
        return scan.taken().customer() == null ? "-" : scan.taken().customer().name();
    }
}
