package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Cuts what a shard server sends into frames, wherever it is split. */
final class FrameReader {
    /** Twice the longest answer a client may get, so no sound value is longer. */
    private static final int LONGEST = 128 * 1024;

    private final RecordParser parser = RecordParser.newFixed(4);
    private final Consumer<ShardFrame> frames;
    private final Consumer<String> malformed;
    private boolean inFrame;
    private boolean broken;
    private double heardAt;

    FrameReader(Consumer<ShardFrame> frames, Consumer<String> malformed) {
        this.frames = frames;
        this.malformed = malformed;
        parser.handler(this::record);
    }

    void handle(Buffer bytes, double now) {
        heardAt = now;
        if (!broken) {
            parser.handle(bytes);
        }
    }

    /**
     * Whether a frame has begun and nothing more of it came for so long: its length doesn't fit.
     */
    boolean stalled(double now, double silenceMs) {
        return inFrame && !broken && now - heardAt > silenceMs;
    }

    private void record(Buffer bytes) {
        if (broken) {
            return;
        }
        if (!inFrame) {
            int length = bytes.getIntLE(0);
            if (length < 1 || length > LONGEST) {
                fail("a frame of " + length + " bytes");
                return;
            }
            inFrame = true;
            parser.fixedSizeMode(length);
            return;
        }
        inFrame = false;
        parser.fixedSizeMode(4);
        try {
            frames.accept(ShardFrame.decode(bytes));
        } catch (ShardFrame.MalformedException e) {
            fail(e.getMessage());
        }
    }

    private void fail(String why) {
        broken = true;
        malformed.accept(why);
    }
}
