package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import sprucehold.decision.DecisionPolicy;
import sprucehold.trace.event.ClockFit;
import sprucehold.trace.event.Source;
import sprucehold.trace.record.Recorder;
import sprucehold.trace.record.RecordingPolicy;
import sprucehold.trace.record.RecordingSettings;

/**
 * Records every call of a decision policy in trace files; its classes are loaded only where an
 * operator has switched it on.
 */
final class Recording {
    private final RecordingSettings plan;
    private final String gatherer;
    private Recorder recorder;

    private Recording(RecordingSettings plan, String gatherer) {
        this.plan = plan;
        this.gatherer = gatherer;
    }

    /**
     * Reads what is to be recorded, and where.
     *
     * @throws IOException with all that is wrong with the file, in one line
     */
    static Recording read(Path file, String gatherer) throws IOException {
        return new Recording(RecordingSettings.read(file), gatherer);
    }

    /** Starts policies whose every call is recorded. */
    DecisionPolicy.Factory of(DecisionPolicy.Factory factory) {
        return (seed, deployment) -> {
            recorder =
                    new Recorder(
                            plan,
                            new Source(
                                    gatherer,
                                    Version.text(),
                                    seed,
                                    0,
                                    deployment,
                                    ClockFit.REFERENCE));
            return new RecordingPolicy(factory.start(seed, deployment), recorder);
        };
    }

    /** Closes the last file. */
    void end() {
        if (recorder != null) {
            recorder.close();
        }
    }
}
