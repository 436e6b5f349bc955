package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Observation;

/**
 * What the way of parts through this package runs, without a socket: for a warm-up where none are
 * granted.
 */
public final class StubShardServers {
    private final List<ShardFrame> read = new ArrayList<>();
    private final FrameReader reader = new FrameReader(read::add, why -> {});

    /** Writes calls as ones that go out, and reads an answer to each. */
    public List<Observation> answered(List<Attempt> dispatches, double nowMs) {
        var reports = new ArrayList<Observation>();
        for (Attempt attempt : dispatches) {
            if (!attempt.mayBeWritten(nowMs)) {
                continue;
            }
            GathererFrame.call(List.of(attempt), nowMs);
            String end = "E" + attempt.partId() + " hit 5 inflight=1\nvalue";
            reader.handle(Buffer.buffer().appendIntLE(end.length()).appendString(end), nowMs);
            var ended = (ShardFrame.Ended) read.remove(0);
            reports.add(
                    new Observation.AttemptEnded(
                            attempt, new AttemptResult.Completed(ended.value(), ended.load())));
        }
        return reports;
    }
}
