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
 * Optional extension of a gatherer. It is notified of queries, observations and attempts, and may
 * pass typed values to the decision policy. All methods are called on the gatherer's event loop,
 * with the time of the gatherer's clock in milliseconds; none may block.
 */
public interface NodeExtension {
    /** Creates an extension for a gatherer that is about to start. */
    interface Factory {
        /**
         * Creates the extension of one gatherer.
         *
         * @throws StartFailedException if the extension isn't compatible with the configuration;
         *     its message is one line
         */
        NodeExtension create(Vertx vertx, NodeConfig config, Clock clock)
                throws StartFailedException;
    }

    /** Returns the key under which the admin server shows {@link #status}. */
    String name();

    /** Starts the extension; the gatherer listens once the future has succeeded. */
    Future<Void> start();

    /** Called when a query was received, unless the gatherer drains and rejects it. */
    void queryReceived(double nowMs, Query query);

    /** Called for each observation, before the decision policy receives it. */
    void observed(double nowMs, Observation observation);

    /**
     * Called right before an attempt is sent, after it has consumed its units of shared limits. The
     * attempt may still end without being written, for example because its units are withdrawn
     * before its write.
     */
    void attemptStarting(double nowMs, Attempt attempt);

    /**
     * Returns a new cluster view for the decision policy, or null if it hasn't changed. Called
     * before each call of the policy.
     */
    ClusterView clusterView(double nowMs);

    /**
     * Consumes units of a shared limit, on command of the decision policy.
     *
     * @return a check whether the attempt that needs the units may still be written, to be called
     *     right before its write; null if the units aren't available
     */
    BooleanSupplier consumeAllowance(double nowMs, Command.ConsumeAllowance consumption);

    /** Returns the status of the extension for operators, as a JSON object. */
    JsonNode status();

    /**
     * Ends the extension. It is called once the gatherer has answered all queries that it received.
     */
    Future<Void> stop();
}
