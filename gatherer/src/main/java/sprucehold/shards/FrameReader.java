package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Cuts what a shard server sends into frames, wherever it is split. */
final class FrameReader {
    private static final int LENGTH_BYTES = 4;

    /** Twice the longest answer that a client may get, so no sound value is longer. */
    private static final int LONGEST_FRAME_BYTES = 128 * 1024;

    private final RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    private final Consumer<ShardFrame> frames;
    private final Consumer<String> malformed;
    private boolean inFrame;
    private boolean broken;
    private double receivedAtMs;

    /**
     * @param frames takes each frame
     * @param malformed is told once why what comes can't be read; nothing is read after that
     */
    FrameReader(Consumer<ShardFrame> frames, Consumer<String> malformed) {
        this.frames = frames;
        this.malformed = malformed;
        parser.handler(this::record);
    }

    /** Takes bytes as they came. */
    void handle(Buffer bytes, double nowMs) {
        receivedAtMs = nowMs;
        if (!broken) {
            parser.handle(bytes);
        }
    }

    /**
     * Whether a frame has begun and nothing more of it came for so long: its length doesn't fit.
     */
    boolean isStalled(double nowMs, double silenceMs) {
        return inFrame && !broken && nowMs - receivedAtMs > silenceMs;
    }

    private void record(Buffer bytes) {
        if (broken) {
            return;
        }
        if (inFrame) {
            frame(bytes);
        } else {
            length(bytes.getIntLE(0));
        }
    }

    private void length(int length) {
        if (length < 1 || length > LONGEST_FRAME_BYTES) {
            fail("a frame of " + length + " bytes");
            return;
        }
        inFrame = true;
        parser.fixedSizeMode(length);
    }

    private void frame(Buffer bytes) {
        inFrame = false;
        parser.fixedSizeMode(LENGTH_BYTES);
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
