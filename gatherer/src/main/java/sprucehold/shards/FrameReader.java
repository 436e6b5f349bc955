package sprucehold.shards;

import io.vertx.core.buffer.Buffer;

/**
 * Splits the byte stream of a shard server into frames, however the bytes are divided into packets.
 *
 * <p>A frame whose length field is wrong ends in the wrong place: its value is cut off, or contains
 * the first bytes of the next frame. The frame itself doesn't show this, but the bytes behind it
 * do, since they can't be read as the start of a frame. Therefore the latest frame is held back. It
 * is confirmed, and passed on, once the start of the next frame has been read, or by {@link
 * #confirm} if nothing has been received behind it. If the bytes behind a frame that was confirmed
 * in the second way turn out to be malformed later, the frame is reported as disproved.
 *
 * <p>Within a frame, four bytes of a value never form a valid length, since values are text without
 * zero bytes; nor do one to three bytes of a value together with the next length field and letter.
 * A frame that extends over four bytes of the next one contains a zero byte and is rejected itself.
 */
final class FrameReader {
    private static final int LENGTH_BYTES = 4;

    /** Bytes of the length field and of the letter. */
    private static final int START_BYTES = LENGTH_BYTES + 1;

    /**
     * Maximum frame length in bytes, twice the maximum length of an answer to a client, so that
     * every valid value fits.
     */
    private static final int MAX_FRAME_BYTES = 128 * 1024;

    /**
     * Maximum number of bytes of the next frame that a frame with a wrong length can contain
     * without being rejected itself.
     */
    private static final int MAX_EXCESS_BYTES = 3;

    /**
     * Time for which a frame is held back if its last read brought no more bytes than a wrong
     * length may take from the next frame, in milliseconds. The rest of the next frame usually
     * arrives within that time.
     */
    static final double EXCESS_WAIT_MS = 10;

    /** Receives what was read. */
    interface Listener {
        /**
         * Receives a confirmed frame.
         *
         * @param receivedAtMs time at which its last byte was received
         */
        void frame(ShardFrame frame, double receivedAtMs);

        /** Reports that the latest frame passed on has a wrong length and so a wrong value. */
        void disproved();

        /** Reports, once, that the stream can't be read; nothing is read after that. */
        void malformed(String reason);
    }

    private final Listener listener;

    /** The length field and the letter of the next frame, as far as received. */
    private Buffer start = Buffer.buffer(START_BYTES);

    /** Letter and content of the frame being received, or null between frames. */
    private Buffer content;

    private int contentLength;

    /** The complete frame that is held back, or null. */
    private ShardFrame held;

    /** Number of bytes of the held frame that its last read brought. */
    private int heldLastReadBytes;

    /** Whether the latest frame was confirmed while nothing had been received behind it. */
    private boolean confirmedUnseen;

    private boolean failed;
    private double receivedAtMs;
    private double lastFrameAtMs = Double.NEGATIVE_INFINITY;
    private long completeFrames;

    FrameReader(Listener listener) {
        this.listener = listener;
    }

    /** Processes received bytes. */
    void handle(Buffer bytes, double nowMs) {
        receivedAtMs = nowMs;
        int at = 0;
        while (at < bytes.length() && !failed) {
            at = content == null ? readStart(bytes, at) : readContent(bytes, at);
        }
    }

    private int readStart(Buffer bytes, int from) {
        int to = Math.min(bytes.length(), from + START_BYTES - start.length());
        start.appendBuffer(bytes, from, to - from);
        if (start.length() >= LENGTH_BYTES && !isLengthValid()) {
            return to;
        }
        if (start.length() == START_BYTES) {
            beginFrame(to - from);
        }
        return to;
    }

    private boolean isLengthValid() {
        int length = start.getIntLE(0);
        if (length >= 1 && length <= MAX_FRAME_BYTES) {
            return true;
        }
        fail("invalid frame length: " + length + " bytes");
        return false;
    }

    private void beginFrame(int readBytes) {
        byte letter = start.getByte(LENGTH_BYTES);
        if (!ShardFrame.isLetter(letter)) {
            fail("unknown frame type " + letter);
            return;
        }
        confirmedUnseen = false;
        passOnHeld();
        contentLength = start.getIntLE(0);
        content = Buffer.buffer().appendByte(letter);
        start = Buffer.buffer(START_BYTES);
        endFrameIfComplete(readBytes);
    }

    private int readContent(Buffer bytes, int from) {
        int to = Math.min(bytes.length(), from + contentLength - content.length());
        content.appendBuffer(bytes, from, to - from);
        endFrameIfComplete(to);
        return to;
    }

    /**
     * @param readBytes number of bytes of the current read up to here
     */
    private void endFrameIfComplete(int readBytes) {
        if (content.length() < contentLength) {
            return;
        }
        try {
            held = ShardFrame.decode(content);
            heldLastReadBytes = readBytes;
            lastFrameAtMs = receivedAtMs;
            completeFrames++;
        } catch (ShardFrame.MalformedException e) {
            fail(e.getMessage());
        }
        content = null;
    }

    private void passOnHeld() {
        if (held != null) {
            ShardFrame frame = held;
            held = null;
            listener.frame(frame, lastFrameAtMs);
        }
    }

    /** Returns whether a frame is held back. */
    boolean isHolding() {
        return held != null;
    }

    /**
     * Passes on the held frame if nothing has been received behind it. The caller has read all
     * unread input before.
     *
     * @param moreExpected whether the shard server may send further frames now
     * @return whether no frame is held any more, or one is held until further bytes arrive; false
     *     if this method is to be called again after {@link #EXCESS_WAIT_MS}
     */
    boolean confirm(double nowMs, boolean moreExpected) {
        if (held == null || start.length() > 0) {
            return true;
        }
        boolean mayContainExcess = moreExpected && heldLastReadBytes <= MAX_EXCESS_BYTES;
        if (mayContainExcess && nowMs - lastFrameAtMs < EXCESS_WAIT_MS) {
            return false;
        }
        confirmedUnseen = true;
        passOnHeld();
        return true;
    }

    /**
     * Passes on the held frame at the end of the stream, unless the stream may have ended within
     * the next frame.
     *
     * @param moreExpected whether the shard server would have sent further frames
     */
    void end(boolean moreExpected) {
        if (!failed && !moreExpected && start.length() == 0) {
            passOnHeld();
        }
        held = null;
        if (confirmedUnseen && start.length() > 0) {
            confirmedUnseen = false;
            listener.disproved();
        }
    }

    /** Returns when the last complete frame was received; negative infinity if none was. */
    double lastFrameAtMs() {
        return lastFrameAtMs;
    }

    /** Returns the number of complete frames received, confirmed or not. */
    long completeFrames() {
        return completeFrames;
    }

    /**
     * Returns whether a frame was received in part, and no further bytes have been received for
     * longer than the given time. The length field of such a frame, or of the one before it, is
     * taken to be wrong.
     */
    boolean isStalled(double nowMs, double silenceMs) {
        boolean partly = content != null || start.length() > 0;
        return partly && !failed && nowMs - receivedAtMs > silenceMs;
    }

    private void fail(String reason) {
        failed = true;
        held = null;
        if (confirmedUnseen) {
            confirmedUnseen = false;
            listener.disproved();
        }
        listener.malformed(reason);
    }

    /** Ends the reading of a stream that {@link #isStalled}. */
    void failStalled() {
        fail("incomplete frame");
    }
}
