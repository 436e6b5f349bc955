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
 * Snapshot of all settings that may change while a gatherer serves. The structure of the deployment
 * (its gatherers, zones and replica groups) can't change and is not part of it. {@link
 * DocumentReader} reads and writes its JSON form.
 *
 * @param queryClasses the query classes that are served
 * @param tenants the tenants and their quotas
 * @param limits the limits of one gatherer
 * @param retryBudget the retry budget, {@link Deployment.RetryBudget#NONE} if retries are unlimited
 * @param slowStart the slow-start rule for shard servers that are warming up
 * @param drainedServers names of shard servers that operators have drained
 * @param discovery HOST:PORT of discovery; empty for the address that was configured at startup
 * @param recording the settings file of trace recording; empty if nothing is recorded
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
     * @param queryClass the properties of the class that the decision policy uses
     * @param deadlineMs longest time that its clients may wait, in milliseconds; greater than the
     *     latency objective
     */
    public record QueryClassSettings(QueryClass queryClass, double deadlineMs) {
        /** Returns the name of the query class. */
        public String name() {
            return queryClass.name();
        }
    }

    /** Copies the collections. */
    public ConfigurationDocument {
        queryClasses = List.copyOf(queryClasses);
        tenants = List.copyOf(tenants);
        drainedServers = Collections.unmodifiableSortedSet(new TreeSet<>(drainedServers));
    }

    /** Returns the query class of this name, if it is served. */
    public Optional<QueryClassSettings> queryClass(String name) {
        return queryClasses.stream().filter(settings -> settings.name().equals(name)).findFirst();
    }

    /** Returns the tenant of this name, if it has a quota. */
    public Optional<Tenant> tenant(String name) {
        return tenants.stream().filter(tenant -> tenant.name().equals(name)).findFirst();
    }

    /**
     * Returns a deployment with the values of this document; the values that no document contains
     * are taken from {@code before}.
     */
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
