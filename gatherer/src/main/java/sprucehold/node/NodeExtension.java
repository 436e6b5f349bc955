package sprucehold.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import sprucehold.coordinator.Attempt;
import sprucehold.coordinator.Observation;
import sprucehold.coordinator.Query;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;

/**
 * What stands beside a node: it hears what happens there, and may give the decisions typed values.
 * All calls come on the node's event loop, with the time of the node's clock; none may wait.
 */
public interface NodeExtension {
    /** Makes one for a node that is about to start. */
    interface Factory {
        /**
         * @throws IllegalArgumentException in one line if it doesn't fit the configuration
         */
        NodeExtension create(Vertx vertx, NodeConfig config, Clock clock);
    }

    /** By which it is asked for at the door. */
    String name();

    /** Begins; the node listens once this has succeeded. */
    Future<Void> start();

    /** A scan was taken. */
    void queryReceived(double nowMs, Query query);

    /** Something was reported; the decisions hear of it later. */
    void observed(double nowMs, Observation observation);

    /** A dispatch is about to be written. */
    void attemptStarting(double nowMs, Attempt attempt);

    /**
     * What the decisions are to know from this moment on, asked before each call of theirs; null if
     * that is nothing new.
     */
    ClusterView clusterView(double nowMs);

    /**
     * The decisions take units of a shared bound.
     *
     * @return whether what they are taken for may be written, to be asked right before that; null
     *     if they are not to be had
     */
    BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance use);

    /** What operators may see of it, as a JSON object. */
    JsonNode status();

    /** The node has answered all it had taken, and ends. */
    Future<Void> end();
}
