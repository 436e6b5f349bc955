package sprucehold.tracetools.story;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Command;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.decision.SkippedReplica;
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
    private final Map<AttemptOutcome, Integer> endings = new EnumMap<>(AttemptOutcome.class);
    private final Map<Reason, Integer> reasons = new EnumMap<>(Reason.class);
    private final Map<SkippedReplica.Cause, Integer> passedOver =
            new EnumMap<>(SkippedReplica.Cause.class);

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
        Command command = item.action();
        if (event instanceof Event.PartReceived) {
            parts++;
        } else if (event instanceof Event.AttemptEnded ended) {
            endings.merge(ended.outcome(), 1, Integer::sum);
        } else if (event instanceof Event.ClientDisconnected) {
            end(Outcome.CLIENT_LEFT, Reason.CLIENT_DISCONNECTED, nowMs);
        } else if (command instanceof Command.SendAttempt sendAttempt) {
            dispatches++;
            servers.add(sendAttempt.server());
            copies += sendAttempt.reason() == Reason.HEDGE ? 1 : 0;
            furtherTries +=
                    sendAttempt.reason() == Reason.RETRY
                                    || sendAttempt.reason() == Reason.RETRY_NOT_RUN
                            ? 1
                            : 0;
            sendAttempt
                    .skipped()
                    .forEach(passed -> passedOver.merge(passed.cause(), 1, Integer::sum));
        } else if (command instanceof Command.AnswerQuery answer && scan.ended()) {
            end(answer.complete() ? Outcome.WHOLE : Outcome.PART, answer.reason(), nowMs);
        } else if (command instanceof Command.RejectQuery throttle) {
            end(Outcome.THROTTLED, throttle.reason(), nowMs);
        } else if (command instanceof Command.FailQuery abandon) {
            end(Outcome.ABANDONED, abandon.reason(), nowMs);
        }
        if (command != null) {
            reasons.merge(command.reason(), 1, Integer::sum);
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
                && tookMs() <= scan.taken().queryClass().latencyObjectiveMs();
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
    public Map<AttemptOutcome, Integer> endings() {
        return endings;
    }

    /** How many of its actions were wanted why. */
    public Map<Reason, Integer> reasons() {
        return reasons;
    }

    /** How often holders were passed over for what. */
    public Map<SkippedReplica.Cause, Integer> passedOver() {
        return passedOver;
    }

    /** Its customer's name, or a dash where there is none. */
    public String customer() {
        return scan.taken().tenant() == null ? "-" : scan.taken().tenant().name();
    }
}
