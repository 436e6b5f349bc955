package sprucehold.change.version;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Replays the journal of earlier processes and restores the versions and their states. */
final class JournalReplay {
    /**
     * Prefix of the reason in the journal entry of a quarantined version; it distinguishes the
     * entry from that of a version rolled back.
     */
    static final String QUARANTINE_REASON = "set aside";

    private final VersionRegistry registry;
    private final Map<Long, Version> accepted = new HashMap<>();
    private final Map<Long, Integer> crashes = new HashMap<>();
    private final boolean endedCleanly;
    private Version confirmed;
    private Version unresolved;
    private long highestLive;

    /**
     * @param registry the registry that receives the versions and their states
     * @param first the version that is confirmed before the first entry
     * @param journal the entries, in order
     */
    JournalReplay(VersionRegistry registry, Version first, List<JournalEntry> journal) {
        this.registry = registry;
        this.confirmed = first;
        this.endedCleanly =
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
            // The version that was live until the clean shutdown did not crash the process, so its
            // series of consecutive crashes ends.
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

    /** Returns the version that was confirmed last. */
    Version confirmed() {
        return confirmed;
    }

    /**
     * Returns the version that was live and neither confirmed nor dropped, or null if there was
     * none.
     */
    Version unresolved() {
        return unresolved;
    }

    /** Returns the highest number of a version that was live and watched; 0 if there was none. */
    long highestLive() {
        return highestLive;
    }

    /** Returns whether the last process shut down cleanly. */
    boolean endedCleanly() {
        return endedCleanly;
    }

    /**
     * Returns the number of consecutive crashes of the process under this version, including the
     * last end of the process if that was a crash.
     */
    int crashes(Version version) {
        return crashes.getOrDefault(version.number(), 0) + (endedCleanly ? 0 : 1);
    }
}
