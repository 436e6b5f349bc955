package sprucehold.trace.record;

import java.util.List;
import sprucehold.port.Action;
import sprucehold.port.Event;
import sprucehold.port.Gatherer;

/** A module with a recorder at its door; it decides just what the module decides. */
public final class RecordingGatherer implements Gatherer {
    private final Gatherer gatherer;
    private final Recorder recorder;

    public RecordingGatherer(Gatherer gatherer, Recorder recorder) {
        this.gatherer = gatherer;
        this.recorder = recorder;
    }

    @Override
    public List<Action> decide(double nowMs, List<Event> events) {
        List<Action> actions;
        try {
            actions = gatherer.decide(nowMs, events);
        } catch (RuntimeException | StackOverflowError e) {
            recorder.took(nowMs, events, List.of(), true);
            throw e;
        }
        recorder.took(nowMs, events, actions, false);
        return actions;
    }
}
