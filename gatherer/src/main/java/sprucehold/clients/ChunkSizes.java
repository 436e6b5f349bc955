package sprucehold.clients;

import io.netty.buffer.ByteBuf;

/**
 * Follows the chunks of one body and finds sizes that the HTTP decoder reads modulo 2^32. Another
 * program would take what the decoder reads as the next request for a part of such a chunk.
 */
final class ChunkSizes {
    /** Limit on the significant hexadecimal digits of a size; the decoder reads an {@code int}. */
    private static final int MAX_DIGITS = 7;

    private static final int HEXADECIMAL = 16;

    private enum State {
        SIZE,
        EXTENSION,
        DATA,
        END_OF_DATA,
        LAST_CHUNK
    }

    private State state = State.SIZE;
    private boolean sizeBegun;
    private int digits;
    private int bytesLeft;

    /**
     * Follows bytes that the decoder has consumed. Returns false if a size is too long.
     *
     * @param from index of the first byte
     * @param to index behind the last byte
     */
    boolean accept(ByteBuf bytes, int from, int to) {
        int at = from;
        while (at < to && state != State.LAST_CHUNK) {
            if (state == State.DATA) {
                int skipped = Math.min(bytesLeft, to - at);
                at += skipped;
                bytesLeft -= skipped;
                if (bytesLeft == 0) {
                    state = State.END_OF_DATA;
                }
            } else if (!acceptFraming((char) bytes.getUnsignedByte(at++))) {
                return false;
            }
        }
        return true;
    }

    private boolean acceptFraming(char character) {
        if (character == '\n') {
            endLine();
        } else if (state == State.SIZE) {
            return acceptSize(character);
        }
        return true;
    }

    private boolean acceptSize(char character) {
        int digit = Character.digit(character, HEXADECIMAL);
        if (digit >= 0) {
            sizeBegun = true;
            if (digits > 0 || digit > 0) {
                digits++;
            }
            bytesLeft = bytesLeft * HEXADECIMAL + digit;
        } else if (sizeBegun) {
            // The decoder, too, ends a size at the first character that is no digit.
            state = State.EXTENSION;
        }
        return digits <= MAX_DIGITS;
    }

    private void endLine() {
        if (state == State.END_OF_DATA) {
            state = State.SIZE;
            sizeBegun = false;
            digits = 0;
            bytesLeft = 0;
        } else {
            state = bytesLeft == 0 ? State.LAST_CHUNK : State.DATA;
        }
    }
}
