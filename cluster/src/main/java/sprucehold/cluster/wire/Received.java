package sprucehold.cluster.wire;

import sprucehold.cluster.session.ClusterMessage;

/** What bytes that came turned out to be. */
public sealed interface Received {
    /**
     * A message to this gatherer.
     *
     * @param from the sender's name, as it states it
     * @param highestVersion the highest version that the sender can read
     */
    record Decoded(String from, int highestVersion, ClusterMessage message) implements Received {}

    /** Of a version that can't be read here: its sender should be told, once. */
    record UnknownVersion(int version) implements Received {}

    /**
     * The sender can't read this gatherer's messages.
     *
     * @param reason for a log
     */
    record VersionRefused(String reason) implements Received {}

    /**
     * No intact message to this gatherer; it is ignored.
     *
     * @param reason for a log
     */
    record Foreign(String reason) implements Received {}
}
