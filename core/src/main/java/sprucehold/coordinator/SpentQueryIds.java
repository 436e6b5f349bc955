package sprucehold.coordinator;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Ids of closed queries with a part that may have run and must not run again. Clients use a fresh
 * id for every request; one that comes again after its client has left would repeat the effect. The
 * latest ids are kept, as many as fit into a fixed amount of memory.
 */
final class SpentQueryIds {
    /** Limit on the memory of all ids, in bytes. */
    static final int MAX_BYTES = 1024 * 1024;

    /** Memory of an id beside its characters, in bytes. */
    static final int ENTRY_BYTES = 128;

    private final Set<String> ids = new LinkedHashSet<>();
    private long bytes;

    /** Adds an id and drops the oldest ones that no longer fit. */
    void add(String id) {
        if (ids.add(id)) {
            bytes += bytesOf(id);
        }
        Iterator<String> oldest = ids.iterator();
        while (bytes > MAX_BYTES) {
            bytes -= bytesOf(oldest.next());
            oldest.remove();
        }
    }

    private static int bytesOf(String id) {
        return ENTRY_BYTES + id.length();
    }

    boolean contains(String id) {
        return ids.contains(id);
    }

    int size() {
        return ids.size();
    }
}
