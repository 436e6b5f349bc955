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
 * An optional part of a gatherer: it hears what happens there, and may give the decision policy
 * typed values. All calls come on the gatherer's event loop, with the time of the gatherer's clock
 * in milliseconds; none may block.
 */
public interface NodeExtension {
    /** Makes an extension for a gatherer that is about to start. */
    interface Factory {
        /**
         * Makes the extension of one gatherer.
         *
         * @throws StartFailedException in one line if the extension doesn't fit the configuration
         */
        NodeExtension create(Vertx vertx, NodeConfig config, Clock clock)
                throws StartFailedException;
    }

    /** The key under which the admin server shows {@link #status}. */
    String name();

    /** Starts the extension; the gatherer listens once this has succeeded. */
    Future<Void> start();

    /** A query was received. */
    void queryReceived(double nowMs, Query query);

    /** Something was observed; the decision policy hears of it later. */
    void observed(double nowMs, Observation observation);

    /** An attempt is about to be written. */
    void attemptStarting(double nowMs, Attempt attempt);

    /**
     * What the decision policy is to know from this moment on, asked before each of its calls; null
     * if there is nothing new.
     */
    ClusterView clusterView(double nowMs);

    /**
     * The decision policy consumes units of a shared limit.
     *
     * @return whether the attempt for which they are consumed may still be written, to be asked
     *     right before its write; null if the units can't be had
     */
    BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance use);

    /** What operators may see of the extension, as a JSON object. */
    JsonNode status();

    /** Ends the extension; the gatherer has answered all queries that it received. */
    Future<Void> end();
}
