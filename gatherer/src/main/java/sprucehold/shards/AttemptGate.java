package sprucehold.shards;

import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Query;

/**
 * Stands between an attempt that is decided and its first byte, for whatever reason it is made and
 * however long it waited: asked by the one method that writes attempts, with nothing between the
 * answer and the write.
 */
public interface AttemptGate {
    /**
     * Whether the query's client still waits, by all that has reached its connection up to this
     * moment.
     */
    boolean clientWaits(Query query);

    /** The frame of the attempt was handed to its connection just now. */
    void begun(Attempt attempt);

    /**
     * Attempts wait that can be written now: {@link ShardServers#writeWaiting} is due in a turn of
     * the decisions.
     */
    void turnWanted();
}
