package sprucehold.change.version;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All versions by number, with their status, and the proposals that they came from. */
final class VersionRegistry {
    /** Statuses kept for operators' queries; the journal holds all. */
    private static final int MAX_STATUSES = 1000;

    private final Map<Long, VersionStatus> statuses = new LinkedHashMap<>();
    private final Map<String, Long> versionOfProposal = new HashMap<>();
    private long lastNumber;

    /** The number of a new version; numbers rise by one. */
    long nextNumber() {
        lastNumber++;
        return lastNumber;
    }

    /** Keeps a number from being given to a new version. */
    void reserveNumber(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    void setState(Version version, VersionStatus.State state, String reason) {
        statuses.put(version.number(), new VersionStatus(version, state, reason));
        while (statuses.size() > MAX_STATUSES) {
            statuses.remove(statuses.keySet().iterator().next());
        }
    }

    /** Marks a version as no longer the confirmed one. */
    void supersede(Version version, long byNumber) {
        setState(version, VersionStatus.State.SUPERSEDED, "by version " + byNumber);
    }

    void putProposal(String proposalId, long number) {
        versionOfProposal.put(proposalId, number);
    }

    /** The number of the version that a proposal became, or null if none was accepted. */
    Long versionOfProposal(String proposalId) {
        return versionOfProposal.get(proposalId);
    }

    /** The status of a version, or null if it is unknown or forgotten. */
    VersionStatus status(long number) {
        return statuses.get(number);
    }

    /** All statuses, the oldest first. */
    List<VersionStatus> statuses() {
        return List.copyOf(statuses.values());
    }
}
