package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import sprucehold.picker.Dispatch;
import sprucehold.picker.Outcome;
import sprucehold.picker.Report;

/**
 * What the way of parts through this package runs, without a socket: for a warm-up where none are
 * granted.
 */
public final class DryServers {
    private final List<ShardFrame> read = new ArrayList<>();
    private final FrameReader reader = new FrameReader(read::add, why -> {});

    /** Writes calls as ones that go out, and reads an answer to each. */
    public List<Report> answered(List<Dispatch> dispatches, double nowMs) {
        var reports = new ArrayList<Report>();
        for (Dispatch dispatch : dispatches) {
            if (!dispatch.mayBeWritten(nowMs)) {
                continue;
            }
            GathererFrame.call(List.of(dispatch), nowMs);
            String end = "E" + dispatch.partId() + " hit 5 inflight=1\nvalue";
            reader.handle(Buffer.buffer().appendIntLE(end.length()).appendString(end), nowMs);
            var ended = (ShardFrame.Ended) read.remove(0);
            reports.add(
                    new Report.DispatchEnded(
                            dispatch, new Outcome.Completed(ended.value(), ended.load())));
        }
        return reports;
    }
}
