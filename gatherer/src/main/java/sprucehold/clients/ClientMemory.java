package sprucehold.clients;

import java.util.EnumMap;
import java.util.Map;

/**
 * Limits the memory that all clients' connections make the process hold together: input that waits,
 * decoded heads, bodies, and answers that their clients have not read. Each connection has an
 * {@link Account}. A small amount on each connection is always granted, and bounded by the limit on
 * the number of connections; what a connection holds beyond it is reserved here, and refused once
 * too much is reserved. The more a connection holds, the earlier it is refused, so that the largest
 * requests leave room for the others.
 *
 * <p>Not thread-safe. Sizes are in bytes.
 */
final class ClientMemory {
    /** Limit on the amount that each connection may hold without a reservation. */
    private static final int MAX_FREE_BYTES = 8 * 1024;

    /**
     * Part of the heap that reservations may add up to, and also the limit of the free amounts of
     * all connections together. Copies of a body or answer that is being processed need memory
     * beside it.
     */
    private static final int HEAP_DIVISOR = 8;

    /** Amount from which a connection is refused at half of the limit on all reservations. */
    private static final int LARGE_BYTES = RequestBody.MAX_BYTES;

    /** What the memory of a connection is used for. */
    enum Use {
        /** Input that is not decoded yet. */
        INPUT,
        /** Request line and header fields of the current request. */
        HEAD,
        /** Body of the current request, until it is answered. */
        BODY,
        /** An answer until the operating system has accepted all of it. */
        ANSWER
    }

    private final long maxReservedBytes;
    private final long freeBytes;
    private long reservedBytes;

    /**
     * @param maxReservedBytes limit on the reservations of all connections
     * @param freeBytes amount that each connection may hold without a reservation
     */
    ClientMemory(long maxReservedBytes, long freeBytes) {
        this.maxReservedBytes = maxReservedBytes;
        this.freeBytes = freeBytes;
    }

    /** Creates limits that are proportional to the maximum size of this process's heap. */
    static ClientMemory ofHeap(int maxConnections) {
        long part = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
        return new ClientMemory(part, Math.min(MAX_FREE_BYTES, part / maxConnections));
    }

    /** Opens the account of a new connection. */
    Account open() {
        return new Account();
    }

    /** Returns the reservations of all connections. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** Limit on all reservations for a connection that holds a given amount. */
    private long maxReservedBytesFor(long heldBytes) {
        return maxReservedBytes
                - maxReservedBytes / 2 * Math.min(heldBytes, LARGE_BYTES) / LARGE_BYTES;
    }

    private long reservationFor(long heldBytes) {
        return Math.max(0, heldBytes - freeBytes);
    }

    /** The memory of one connection. */
    final class Account {
        private final Map<Use, Long> held = new EnumMap<>(Use.class);
        private long heldBytes;
        private boolean closed;

        /**
         * Sets the amount that a use occupies. Returns false, and changes nothing, if the amount
         * grows and too much memory is reserved. A closed account grants everything and reserves
         * nothing.
         */
        boolean resize(Use use, long bytes) {
            if (closed) {
                return true;
            }
            long newHeldBytes = heldBytes + bytes - held.getOrDefault(use, 0L);
            long change = reservationFor(newHeldBytes) - reservationFor(heldBytes);
            if (change > 0 && reservedBytes + change > maxReservedBytesFor(newHeldBytes)) {
                return false;
            }
            reservedBytes += change;
            heldBytes = newHeldBytes;
            held.put(use, bytes);
            return true;
        }

        /** Ends all reservations of the connection. Further calls have no effect. */
        void close() {
            if (!closed) {
                closed = true;
                reservedBytes -= reservationFor(heldBytes);
            }
        }
    }
}
