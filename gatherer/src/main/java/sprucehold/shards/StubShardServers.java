package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;

/**
 * Runs this package's code for writing attempts and reading their answers without a socket. Used
 * for the warm-up where the process may not open sockets.
 */
public final class StubShardServers {
    private final List<ShardFrame> frames = new ArrayList<>();
    private final FrameReader reader = new FrameReader(new Frames());

    private final class Frames implements FrameReader.Listener {
        @Override
        public void frame(ShardFrame frame, double receivedAtMs) {
            frames.add(frame);
        }

        @Override
        public void disproved() {}

        @Override
        public void malformed(String reason) {}
    }

    /** Encodes the frame of each attempt and decodes a scripted answer to it. */
    public List<Observation> simulateAnswers(List<Attempt> attempts, double nowMs) {
        var observations = new ArrayList<Observation>();
        for (Attempt attempt : attempts) {
            if (!attempt.isWriteAllowed(nowMs)) {
                continue;
            }
            GathererFrame.attempts(List.of(attempt), nowMs);
            String answer = "E" + attempt.partId() + " hit 5 inflight=1\nvalue";
            Buffer frame = Buffer.buffer().appendIntLE(answer.length()).appendString(answer);
            reader.handle(frame, nowMs);
            reader.confirm(nowMs, false);
            var ended = (ShardFrame.PartEnded) frames.remove(0);
            observations.add(new Observation.AttemptEnded(attempt, ended.result()));
        }
        return observations;
    }
}
