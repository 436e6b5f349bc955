package sprucehold.cluster.wire;

import sprucehold.cluster.session.ClusterMessage;

/** What a datagram turned out to be. */
public sealed interface Received {
    /**
     * A letter to this gatherer.
     *
     * @param reads the highest version that the sender can read
     */
    record Read(String from, int reads, ClusterMessage letter) implements Received {}

    /** Of a version that can't be read here: its sender should be told, once. */
    record Unknown(int version) implements Received {}

    /** This gatherer's own letters can't be read by whoever sent it. @param why for a log */
    record Refused(String why) implements Received {}

    /** Not a whole letter to this gatherer; nothing is to be done. @param why for a log */
    record Foreign(String why) implements Received {}
}
