package sprucehold.clients;

import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.Arrays;

/**
 * Body of one request: its bytes until it is read as a query, and its share of the connection's
 * memory until the request is answered, since the open query then holds the text of the body.
 */
final class RequestBody {
    /** Limit on the size of a body, in bytes. */
    static final int MAX_BYTES = 64 * 1024;

    private static final byte[] NO_BYTES = {};

    /** Result of {@link #append}. */
    enum Appended {
        YES,
        /** The body is longer than {@link #MAX_BYTES}. */
        TOO_LONG,
        /** All clients together occupy too much memory. */
        NO_MEMORY
    }

    private final ClientMemory.Account memory;
    private byte[] bytes = NO_BYTES;
    private int length;
    private boolean released;

    RequestBody(ClientMemory.Account memory) {
        this.memory = memory;
    }

    /** Appends bytes that were received; ignores them after {@link #release}. */
    Appended append(Buffer received) {
        if (released) {
            return Appended.YES;
        }
        int newLength = length + received.length();
        if (newLength > MAX_BYTES) {
            return Appended.TOO_LONG;
        }
        if (newLength > bytes.length && !grow(newLength)) {
            return Appended.NO_MEMORY;
        }
        received.getBytes(bytes, length);
        length = newLength;
        return Appended.YES;
    }

    private boolean grow(int minCapacity) {
        int capacity = Math.max(minCapacity, Math.min(MAX_BYTES, 2 * bytes.length));
        if (!memory.resize(ClientMemory.Use.BODY, capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /**
     * Returns the bytes received, and drops them. The memory stays reserved until {@link #release}.
     */
    InputStream take() {
        var taken = new ByteArrayInputStream(bytes, 0, length);
        bytes = NO_BYTES;
        memory.resize(ClientMemory.Use.BODY, length);
        return taken;
    }

    /** Drops the bytes and ends the reservation. Further calls have no effect. */
    void release() {
        if (!released) {
            released = true;
            bytes = NO_BYTES;
            memory.resize(ClientMemory.Use.BODY, 0);
        }
    }
}
