package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Splits the byte stream of a shard server into frames, however the bytes are divided into packets.
 */
final class FrameReader {
    private static final int LENGTH_BYTES = 4;

    /**
     * Maximum frame length in bytes, twice the maximum length of an answer to a client, so that
     * every valid value fits.
     */
    private static final int MAX_FRAME_BYTES = 128 * 1024;

    private final RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    private final Consumer<ShardFrame> onFrame;
    private final Consumer<String> onMalformed;
    private boolean inFrame;
    private boolean failed;
    private double receivedAtMs;

    /**
     * @param onFrame receives each frame
     * @param onMalformed called once with the reason if the stream can't be read; nothing is read
     *     after that
     */
    FrameReader(Consumer<ShardFrame> onFrame, Consumer<String> onMalformed) {
        this.onFrame = onFrame;
        this.onMalformed = onMalformed;
        parser.handler(this::handleRecord);
    }

    /** Processes received bytes. */
    void handle(Buffer bytes, double nowMs) {
        receivedAtMs = nowMs;
        if (!failed) {
            parser.handle(bytes);
        }
    }

    /**
     * Returns whether a frame was received in part, and no further bytes have been received for
     * longer than the given time. The length field of such a frame is taken to be wrong.
     */
    boolean isStalled(double nowMs, double silenceMs) {
        return inFrame && !failed && nowMs - receivedAtMs > silenceMs;
    }

    private void handleRecord(Buffer bytes) {
        if (failed) {
            return;
        }
        if (inFrame) {
            handleFrame(bytes);
        } else {
            handleLength(bytes.getIntLE(0));
        }
    }

    private void handleLength(int length) {
        if (length < 1 || length > MAX_FRAME_BYTES) {
            fail("invalid frame length: " + length + " bytes");
            return;
        }
        inFrame = true;
        parser.fixedSizeMode(length);
    }

    private void handleFrame(Buffer bytes) {
        inFrame = false;
        parser.fixedSizeMode(LENGTH_BYTES);
        try {
            onFrame.accept(ShardFrame.decode(bytes));
        } catch (ShardFrame.MalformedException e) {
            fail(e.getMessage());
        }
    }

    private void fail(String reason) {
        failed = true;
        onMalformed.accept(reason);
    }
}
