package sprucehold.shards;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Cuts what a shard server sends into frames, wherever it is split. */
final class FrameReader implements Handler<Buffer> {
    /** Twice the longest answer a client may get, so no sound value is longer. */
    private static final int LONGEST = 128 * 1024;

    private final RecordParser parser = RecordParser.newFixed(4);
    private final Consumer<ShardFrame> frames;
    private final Consumer<String> malformed;
    private boolean inFrame;
    private boolean broken;

    FrameReader(Consumer<ShardFrame> frames, Consumer<String> malformed) {
        this.frames = frames;
        this.malformed = malformed;
        parser.handler(this::record);
    }

    @Override
    public void handle(Buffer bytes) {
        if (!broken) {
            parser.handle(bytes);
        }
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
