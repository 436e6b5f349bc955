package sprucehold.shards;

import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Query;

/**
 * Callbacks around the write of an attempt. The only method that writes attempts asks {@link
 * #isClientConnected} directly before each write, whatever the reason for the attempt and however
 * long it has waited, so that no attempt is written for a client that has disconnected.
 */
public interface AttemptWriteCallbacks {
    /**
     * Returns whether the query's client is still connected, judged by all input received on its
     * connection up to now.
     */
    boolean isClientConnected(Query query);

    /** Reports that the frame of an attempt has just been written to its connection. */
    void attemptWritten(Attempt attempt);

    /**
     * Reports that answers can be confirmed, or waiting attempts be written, now. The receiver then
     * calls {@link ShardServers#confirmAnswers} and {@link ShardServers#writeWaiting} in the next
     * turn of the decision loop.
     */
    void turnRequested();
}
