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

/** What one gatherer holds of itself and of all others, with a digest of it. */
final class MemberList {
    /**
     * A dead member that nobody heard of for so long is forgotten: an hour outlasts repairs, and
     * bounds what is held.
     */
    private static final double FORGET_AFTER_MS = 3_600_000;

    private record Entry(MemberUpdate update, double changedAtMs) {}

    private final Map<String, Entry> others = new TreeMap<>();
    private final Set<String> activeNames = new TreeSet<>();

    /** A copy of the active names; null when it has to be made anew. */
    private Set<String> activeCopy = Set.of();

    private MemberUpdate self;

    /** How many of the others have been heard of in any generation. */
    private int metCount;

    /** Of all active members, itself included; the same at all who hold the same. */
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

    /** What is held of another, or null. */
    MemberUpdate get(String name) {
        Entry entry = others.get(name);
        return entry == null ? null : entry.update;
    }

    void put(MemberUpdate update, double nowMs) {
        MemberUpdate before = get(update.name());
        others.put(update.name(), new Entry(update, nowMs));
        metCount += isMet(update) - (before == null ? 0 : isMet(before));
        digest ^= (before == null ? 0 : digest(before)) ^ digest(update);
        boolean changed =
                update.state().isActive()
                        ? activeNames.add(update.name())
                        : activeNames.remove(update.name());
        if (changed) {
            activeCopy = null;
        }
    }

    private static int isMet(MemberUpdate update) {
        return update.generation() > 0 ? 1 : 0;
    }

    /**
     * Of one member; 0 for one that isn't active, as that is forgotten by each gatherer in its own
     * time.
     */
    private static long digest(MemberUpdate update) {
        if (!update.state().isActive()) {
            return 0;
        }
        String identity = update.name() + '/' + update.generation() + '/' + update.incarnation();
        return MurmurHash3.hash128x64(identity.getBytes(StandardCharsets.UTF_8))[0];
    }

    /** A hash over all active members; independent of their order. */
    long digest() {
        return digest;
    }

    /** The names of all others that are active, sorted. */
    Set<String> active() {
        if (activeCopy == null) {
            activeCopy = Collections.unmodifiableSet(new TreeSet<>(activeNames));
        }
        return activeCopy;
    }

    boolean isActive(String name) {
        return activeNames.contains(name);
    }

    /** How many others are known, in whatever state. */
    int othersCount() {
        return others.size();
    }

    /** Whether some of the others have never been heard of. */
    boolean hasUnmet() {
        return metCount < others.size();
    }

    /** The others held dead, by name. */
    List<MemberUpdate> dead() {
        return others.values().stream()
                .map(Entry::update)
                .filter(update -> update.state() == MemberUpdate.State.DEAD)
                .toList();
    }

    /** All, itself first. */
    List<MemberUpdate> all() {
        var all = new ArrayList<MemberUpdate>();
        all.add(self);
        others.values().forEach(entry -> all.add(entry.update));
        return all;
    }

    /** All that others may be told: those met, and itself unless it is superseded. */
    List<MemberUpdate> tellable() {
        return all().stream()
                .filter(update -> update.generation() > 0)
                .filter(update -> !(superseded && isSelf(update.name())))
                .toList();
    }

    /** Forgets those met that have been inactive for long. */
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
