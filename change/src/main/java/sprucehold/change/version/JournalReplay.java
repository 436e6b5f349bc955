package sprucehold.change.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Replays the journal of earlier processes: which versions they knew and how far they came. */
final class JournalReplay {
    /**
     * Begins the reason of a quarantined version in the journal, and tells its entry from that of a
     * version rolled back.
     */
    static final String QUARANTINE_REASON = "set aside";

    private final VersionRegistry registry;
    private final Map<Long, Version> accepted = new HashMap<>();
    private final Map<Long, Integer> crashes = new HashMap<>();
    private final boolean endsInOrder;
    private Version confirmed;
    private Version unresolved;
    private long highestLive;

    /**
     * @param registry takes up the versions and their states
     * @param first the version that is confirmed before the first entry
     */
    JournalReplay(VersionRegistry registry, Version first, List<JournalEntry> journal) {
        this.registry = registry;
        this.confirmed = first;
        this.endsInOrder =
                !journal.isEmpty()
                        && journal.get(journal.size() - 1) instanceof JournalEntry.ShutDown;
        journal.forEach(this::replay);
    }

    private void replay(JournalEntry entry) {
        if (entry instanceof JournalEntry.Accepted acceptedEntry) {
            replayAccepted(acceptedEntry);
        } else if (entry instanceof JournalEntry.Live live) {
            unresolved = accepted.get(live.number());
            highestLive = Math.max(highestLive, live.number());
        } else if (entry instanceof JournalEntry.Retried retried) {
            unresolved = accepted.get(retried.number());
            crashes.merge(retried.number(), 1, Integer::sum);
        } else if (entry instanceof JournalEntry.Confirmed confirmedEntry) {
            replayConfirmed(confirmedEntry.number());
        } else if (entry instanceof JournalEntry.Dropped dropped) {
            replayDropped(dropped);
        } else if (entry instanceof JournalEntry.ShutDown && unresolved != null) {
            // The version that was live until the process ended in order did not crash it.
            crashes.remove(unresolved.number());
        }
    }

    private void replayAccepted(JournalEntry.Accepted entry) {
        Version version = entry.version();
        accepted.put(version.number(), version);
        registry.putProposal(entry.proposalId(), version.number());
        registry.reserveNumber(version.number());
        registry.setState(version, VersionStatus.State.STAGED, "");
    }

    private void replayConfirmed(long number) {
        registry.supersede(confirmed, number);
        confirmed = accepted.getOrDefault(number, confirmed);
        unresolved = null;
        registry.setState(confirmed, VersionStatus.State.CONFIRMED, "");
    }

    private void replayDropped(JournalEntry.Dropped dropped) {
        if (unresolved != null && unresolved.number() == dropped.number()) {
            unresolved = null;
        }
        Version version = accepted.get(dropped.number());
        if (version != null) {
            boolean quarantined = dropped.reason().startsWith(QUARANTINE_REASON);
            registry.setState(
                    version,
                    quarantined ? VersionStatus.State.QUARANTINED : VersionStatus.State.ROLLED_BACK,
                    dropped.reason());
        }
    }

    /** The version that was confirmed last. */
    Version confirmed() {
        return confirmed;
    }

    /** The version that was live and neither confirmed nor dropped, or null if there was none. */
    Version unresolved() {
        return unresolved;
    }

    /** The highest number that was live and watched, 0 for none. */
    long highestLive() {
        return highestLive;
    }

    /** Whether the last process ended in order. */
    boolean endsInOrder() {
        return endsInOrder;
    }

    /** How often in a row the process died under this version, the last time included. */
    int crashes(Version version) {
        return crashes.getOrDefault(version.number(), 0) + (endsInOrder ? 0 : 1);
    }
}
