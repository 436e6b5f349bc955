package sprucehold.change.version;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Registry of versions and their status by number, and of the version numbers of proposals. */
final class VersionRegistry {
    /** Number of statuses kept for operators' requests; the journal contains all versions. */
    private static final int MAX_STATUSES = 1000;

    private final Map<Long, VersionStatus> statuses = new LinkedHashMap<>();
    private final Map<String, Long> versionOfProposal = new HashMap<>();
    private long lastNumber;

    /** Returns the number of a new version; numbers increase by one. */
    long nextNumber() {
        lastNumber++;
        return lastNumber;
    }

    /** Ensures that neither this number nor a lower one is assigned to a new version. */
    void reserveNumber(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    void setState(Version version, VersionStatus.State state, String reason) {
        statuses.put(version.number(), new VersionStatus(version, state, reason));
        while (statuses.size() > MAX_STATUSES) {
            statuses.remove(statuses.keySet().iterator().next());
        }
    }

    /** Marks a version as superseded by a later confirmed version. */
    void supersede(Version version, long byNumber) {
        setState(version, VersionStatus.State.SUPERSEDED, "by version " + byNumber);
    }

    void putProposal(String proposalId, long number) {
        versionOfProposal.put(proposalId, number);
    }

    /** Returns the number of the version that a proposal became, or null if it was not accepted. */
    Long versionOfProposal(String proposalId) {
        return versionOfProposal.get(proposalId);
    }

    /** Returns the status of a version, or null if it is unknown or was discarded. */
    VersionStatus status(long number) {
        return statuses.get(number);
    }

    /** Returns all statuses, the oldest first. */
    List<VersionStatus> statuses() {
        return List.copyOf(statuses.values());
    }
}
