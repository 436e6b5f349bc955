package sprucehold.change.document;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * A snapshot of all that may change while a gatherer serves. What a deployment is built on (its
 * gatherers, zones and replica groups) is not part of it. {@link DocumentReader} has its JSON.
 *
 * @param queryClasses the query classes that are served
 * @param tenants the tenants and their quotas
 * @param limits the limits of one gatherer
 * @param retryBudget the budget of retries, {@link Deployment.RetryBudget#NONE} if unlimited
 * @param slowStart how warming servers are treated
 * @param drainedServers names of shard servers that operators have drained
 * @param discovery HOST:PORT of discovery; empty for the address given at start
 * @param recording the settings file of the recording; empty for none
 * @param logLevel the name of a {@link java.util.logging.Level}
 */
public record ConfigurationDocument(
        List<QueryClassSettings> queryClasses,
        List<Tenant> tenants,
        Deployment.Limits limits,
        Deployment.RetryBudget retryBudget,
        Deployment.SlowStartRule slowStart,
        SortedSet<String> drainedServers,
        String discovery,
        String recording,
        String logLevel) {

    /**
     * A query class and the deadline of its queries.
     *
     * @param queryClass what the decisions know of the class
     * @param deadlineMs the longest time that its clients may wait, in milliseconds; above the
     *     latency objective
     */
    public record QueryClassSettings(QueryClass queryClass, double deadlineMs) {
        /** The name of the query class. */
        public String name() {
            return queryClass.name();
        }
    }

    /** Copies its collections. */
    public ConfigurationDocument {
        queryClasses = List.copyOf(queryClasses);
        tenants = List.copyOf(tenants);
        drainedServers = Collections.unmodifiableSortedSet(new TreeSet<>(drainedServers));
    }

    /** The query class of this name, if it is served. */
    public Optional<QueryClassSettings> queryClass(String name) {
        return queryClasses.stream().filter(settings -> settings.name().equals(name)).findFirst();
    }

    /** The tenant of this name, if it has a quota. */
    public Optional<Tenant> tenant(String name) {
        return tenants.stream().filter(tenant -> tenant.name().equals(name)).findFirst();
    }

    /** The deployment with this document's values; what no document can change stays. */
    public Deployment applyTo(Deployment before) {
        return new Deployment(
                before.gatherers(),
                before.zone(),
                before.tickMs(),
                before.overQuotaPriority(),
                queryClasses.stream().map(QueryClassSettings::queryClass).toList(),
                tenants,
                before.layout(),
                limits,
                slowStart,
                retryBudget,
                before.endpointSubscription());
    }
}
