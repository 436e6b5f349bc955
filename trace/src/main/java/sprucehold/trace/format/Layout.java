package sprucehold.trace.format;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Constants of the file format; the package description contains the grammar. */
final class Layout {
    static final byte[] MAGIC = {(byte) 0x89, 'S', 'P', 'R', 'T', 'R', 'C', '\n'};
    static final byte[] FRAME_MARKER = {'S', 'B', 'L', 'K'};
    static final byte[] FOOTER_MARKER = {'F', 'O', 'O', 'T'};
    static final int MAJOR = 1;
    static final int MINOR = 1;
    static final int PREAMBLE_BYTES = 16;
    static final int FRAME_BYTES = 48;
    static final int FOOTER_BYTES = 40;

    /**
     * Largest length of the header's JSON, in bytes. The deployment of 100,000 shard servers takes
     * less.
     */
    static final int MAX_HEADER_BYTES = 16 << 20;

    /**
     * Largest raw length of a frame, in bytes. A list of 100,000 endpoints is one record of some 4
     * MB. A reader keeps at most two blocks in memory.
     */
    static final int MAX_RAW_BYTES = 8 << 20;

    /**
     * Largest stored length of a frame, in bytes. Deflate adds 5 bytes per 16 KiB of incompressible
     * data.
     */
    static final int MAX_STORED_BYTES = MAX_RAW_BYTES + (64 << 10);

    /**
     * Largest number of records in a block. A writer ends a block at 64 KiB, and the policy call
     * that exceeds this size may contain an endpoint list with all shard servers.
     */
    static final int MAX_RECORDS = 1 << 18;

    static final int BLOCK = 1;
    static final int INDEX = 2;
    static final int DIRECTORY = 3;
    static final int STORED = 0;
    static final int DEFLATED = 1;

    private Layout() {}

    /** Returns the hash by which an index finds the blocks of a query. */
    static long hash(String queryId) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(queryId.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
