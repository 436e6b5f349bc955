package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;

/**
 * Runs the code that parts pass in this package, without a socket: for a warm-up where no sockets
 * are granted.
 */
public final class StubShardServers {
    private final List<ShardFrame> frames = new ArrayList<>();
    private final FrameReader reader = new FrameReader(frames::add, why -> {});

    /** Writes attempts as if they went out, and reads an answer to each. */
    public List<Observation> answered(List<Attempt> attempts, double nowMs) {
        var observations = new ArrayList<Observation>();
        for (Attempt attempt : attempts) {
            if (!attempt.mayBeWritten(nowMs)) {
                continue;
            }
            GathererFrame.attempts(List.of(attempt), nowMs);
            String answer = "E" + attempt.partId() + " hit 5 inflight=1\nvalue";
            Buffer frame = Buffer.buffer().appendIntLE(answer.length()).appendString(answer);
            reader.handle(frame, nowMs);
            var ended = (ShardFrame.PartEnded) frames.remove(0);
            observations.add(new Observation.AttemptEnded(attempt, ended.result()));
        }
        return observations;
    }
}
