package sprucehold.trace.format;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The fixed parts of the layout; the grammar stands with the package. */
final class Layout {
    static final byte[] MAGIC = {(byte) 0x89, 'S', 'P', 'R', 'T', 'R', 'C', '\n'};
    static final byte[] FRAME_MARKER = {'S', 'B', 'L', 'K'};
    static final byte[] FOOTER_MARKER = {'F', 'O', 'O', 'T'};
    static final int MAJOR = 1;
    static final int MINOR = 1;
    static final int PREAMBLE_BYTES = 16;
    static final int FRAME_BYTES = 48;
    static final int FOOTER_BYTES = 40;

    /** A hundred thousand shard servers with their facts take less. */
    static final int MAX_HEADER_BYTES = 16 << 20;

    /**
     * A list of a hundred thousand servers is one record of some 4 MB; a reader holds two blocks at
     * most.
     */
    static final int MAX_RAW_BYTES = 8 << 20;

    /** Deflate adds five bytes to 16 KiB that it can't shorten. */
    static final int MAX_STORED_BYTES = MAX_RAW_BYTES + (64 << 10);

    /** A writer ends a block at 64 KiB; one moment on top of that may be a list of all servers. */
    static final int MAX_RECORDS = 1 << 18;

    static final int BLOCK = 1;
    static final int INDEX = 2;
    static final int DIRECTORY = 3;
    static final int STORED = 0;
    static final int DEFLATED = 1;

    private Layout() {}

    /** What a query's id is looked up by. */
    static long hash(String queryId) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(queryId.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
