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
 * Records every call of a decision policy in trace files; its classes are loaded only if the
 * operator has enabled it.
 */
final class Recording {
    private final RecordingSettings settings;
    private final String gatherer;
    private Recorder recorder;

    private Recording(RecordingSettings settings, String gatherer) {
        this.settings = settings;
        this.gatherer = gatherer;
    }

    /**
     * Reads the settings of a recording from a file.
     *
     * @throws IOException if the file can't be read or is invalid; the message lists all errors in
     *     one line
     */
    static Recording read(Path file, String gatherer) throws IOException {
        return new Recording(RecordingSettings.read(file), gatherer);
    }

    /** Returns a factory of policies whose every call is recorded. */
    DecisionPolicy.Factory wrap(DecisionPolicy.Factory factory) {
        return (seed, deployment) -> {
            recorder =
                    new Recorder(
                            settings,
                            new Source(
                                    gatherer,
                                    Version.text(),
                                    seed,
                                    0,
                                    deployment,
                                    ClockFit.REFERENCE));
            return new RecordingPolicy(factory.create(seed, deployment), recorder);
        };
    }

    /** Closes the last trace file, if a policy was started. */
    void end() {
        if (recorder != null) {
            recorder.close();
        }
    }
}
