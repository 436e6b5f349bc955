package sprucehold.cluster.wire;

import sprucehold.cluster.session.ClusterMessage;

/** Result of decoding received bytes. */
public sealed interface Received {
    /**
     * A message to this gatherer.
     *
     * @param from the sender's name, as stated by the sender
     * @param highestVersion the highest version that the sender can read
     */
    record Decoded(String from, int highestVersion, ClusterMessage message) implements Received {}

    /** A message of a version that this program can't read; its sender should be notified, once. */
    record UnknownVersion(int version) implements Received {}

    /**
     * A notification that the sender can't read this gatherer's messages.
     *
     * @param reason text for a log
     */
    record VersionRefused(String reason) implements Received {}

    /**
     * Bytes that are not an intact message to this gatherer; they are ignored.
     *
     * @param reason description of the problem
     */
    record Foreign(String reason) implements Received {}
}
