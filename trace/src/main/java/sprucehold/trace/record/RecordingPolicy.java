package sprucehold.trace.record;

import java.util.List;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Event;

/** Decision policy that delegates to another policy and records each of its calls. */
public final class RecordingPolicy implements DecisionPolicy {
    private final DecisionPolicy policy;
    private final Recorder recorder;

    /** Creates a policy that records the calls of another policy. */
    public RecordingPolicy(DecisionPolicy policy, Recorder recorder) {
        this.policy = policy;
        this.recorder = recorder;
    }

    @Override
    public List<Command> decide(double nowMs, List<Event> events) {
        List<Command> commands;
        try {
            commands = policy.decide(nowMs, events);
        } catch (RuntimeException | StackOverflowError e) {
            recorder.record(nowMs, events, List.of(), true);
            throw e;
        }
        recorder.record(nowMs, events, commands, false);
        return commands;
    }
}
