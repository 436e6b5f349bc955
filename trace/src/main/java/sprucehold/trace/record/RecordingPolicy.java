package sprucehold.trace.record;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;

/** A module with a recorder at its door; it decides just what the policy decides. */
public final class RecordingPolicy implements DecisionPolicy {
    private final DecisionPolicy policy;
    private final Recorder recorder;

    /** Records what a policy is told and decides. */
    public RecordingPolicy(DecisionPolicy policy, Recorder recorder) {
        this.policy = policy;
        this.recorder = recorder;
    }

    @Override
    public List<Command> decide(double nowMs, List<Event> events) {
        List<Command> actions;
        try {
            actions = policy.decide(nowMs, events);
        } catch (RuntimeException | StackOverflowError e) {
            recorder.record(nowMs, events, List.of(), true);
            throw e;
        }
        recorder.record(nowMs, events, actions, false);
        return actions;
    }
}
