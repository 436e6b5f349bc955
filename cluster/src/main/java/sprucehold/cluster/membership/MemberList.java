package sprucehold.cluster.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/** One gatherer's record of its own state and that of all other members, with a digest of it. */
final class MemberList {
    /**
     * Time after which an inactive member is removed, in milliseconds. An hour is longer than usual
     * repairs take, and the removal bounds the size of the list.
     */
    private static final double FORGET_AFTER_MS = 3_600_000;

    private record Entry(MemberUpdate update, double changedAtMs) {}

    private final Map<String, Entry> others = new TreeMap<>();
    private final Set<String> activeNames = new TreeSet<>();

    /** Copy of the active names; null when it has to be rebuilt. */
    private Set<String> activeCopy = Set.of();

    private MemberUpdate self;

    /** Number of other members known with a generation, that is, not only by a configured name. */
    private int metCount;

    /** Digest of all active members, this one included; equal at all members whose lists agree. */
    private long digest;

    private boolean superseded;

    MemberList(MemberUpdate self) {
        this.self = self;
        this.digest = digest(self);
    }

    MemberUpdate self() {
        return self;
    }

    boolean isSelf(String name) {
        return name.equals(self.name());
    }

    void setSelf(MemberUpdate update) {
        digest ^= digest(self) ^ digest(update);
        self = update;
    }

    /** Whether another process claims this name with a later generation. */
    boolean isSuperseded() {
        return superseded;
    }

    void setSuperseded(boolean superseded) {
        this.superseded = superseded;
    }

    /** Returns the latest update about another member, or null if none is known. */
    MemberUpdate get(String name) {
        Entry entry = others.get(name);
        return entry == null ? null : entry.update;
    }

    void put(MemberUpdate update, double nowMs) {
        MemberUpdate before = get(update.name());
        others.put(update.name(), new Entry(update, nowMs));
        metCount += metIncrement(update) - (before == null ? 0 : metIncrement(before));
        digest ^= (before == null ? 0 : digest(before)) ^ digest(update);
        boolean changed =
                update.state().isActive()
                        ? activeNames.add(update.name())
                        : activeNames.remove(update.name());
        if (changed) {
            activeCopy = null;
        }
    }

    private static int metIncrement(MemberUpdate update) {
        return update.generation() > 0 ? 1 : 0;
    }

    /**
     * Returns the digest of one member. It is 0 for an inactive member, as each gatherer removes
     * inactive members at its own time.
     */
    private static long digest(MemberUpdate update) {
        if (!update.state().isActive()) {
            return 0;
        }
        String identity = update.name() + '/' + update.generation() + '/' + update.incarnation();
        return MurmurHash3.hash128x64(identity.getBytes(StandardCharsets.UTF_8))[0];
    }

    /** Returns a hash over all active members; it doesn't depend on their order. */
    long digest() {
        return digest;
    }

    /** Returns the names of all other active members, sorted. */
    Set<String> active() {
        if (activeCopy == null) {
            activeCopy = Collections.unmodifiableSet(new TreeSet<>(activeNames));
        }
        return activeCopy;
    }

    boolean isActive(String name) {
        return activeNames.contains(name);
    }

    /** Returns the number of other members known, in any state. */
    int othersCount() {
        return others.size();
    }

    /** Whether no update with a generation has been received yet for some of the other members. */
    boolean hasUnmet() {
        return metCount < others.size();
    }

    /** Returns the other members considered dead, sorted by name. */
    List<MemberUpdate> dead() {
        return others.values().stream()
                .map(Entry::update)
                .filter(update -> update.state() == MemberUpdate.State.DEAD)
                .toList();
    }

    /** Returns all members, this one first. */
    List<MemberUpdate> all() {
        var all = new ArrayList<MemberUpdate>();
        all.add(self);
        others.values().forEach(entry -> all.add(entry.update));
        return all;
    }

    /**
     * Returns all updates that may be sent to other members: those with a generation, and this
     * member's own unless it is superseded.
     */
    List<MemberUpdate> sendableUpdates() {
        return all().stream()
                .filter(update -> update.generation() > 0)
                .filter(update -> !(superseded && isSelf(update.name())))
                .toList();
    }

    /** Removes members with a generation that have been inactive for {@link #FORGET_AFTER_MS}. */
    void forgetInactive(double nowMs) {
        for (Entry entry : List.copyOf(others.values())) {
            MemberUpdate update = entry.update;
            if (!update.state().isActive()
                    && update.generation() > 0
                    && nowMs - entry.changedAtMs > FORGET_AFTER_MS) {
                others.remove(update.name());
                metCount--;
            }
        }
    }
}
