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
 * All that may be changed of a gatherer while it serves. What a deployment is built on - its
 * gatherers, zones, cells - is not among it.
 *
 * @param types the table types
 * @param customers the customers and what lies within their shares
 * @param limits what a gatherer may do
 * @param budget further dispatches, {@link Deployment.RetryBudget#NONE} where none is stated
 * @param coldRule how cold servers fall over
 * @param serversOut shard servers that the operator has taken out
 * @param discovery where the list is asked for, HOST:PORT; empty for where the start said
 * @param recording the recording's file; empty for none
 * @param logLevel a level of java.util.logging
 */
public record ConfigurationDocument(
        List<Type> types,
        List<Tenant> customers,
        Deployment.Limits limits,
        Deployment.RetryBudget budget,
        Deployment.SlowStartRule coldRule,
        SortedSet<String> serversOut,
        String discovery,
        String recording,
        String logLevel) {

    /**
     * A table type, and the longest that its clients may wait.
     *
     * @param queryTimeoutMs in milliseconds; above the target time
     */
    public record Type(QueryClass facts, double queryTimeoutMs) {
        public String name() {
            return facts.name();
        }
    }

    public ConfigurationDocument {
        types = List.copyOf(types);
        customers = List.copyOf(customers);
        serversOut = Collections.unmodifiableSortedSet(new TreeSet<>(serversOut));
    }

    public Optional<Type> type(String name) {
        return types.stream().filter(type -> type.name().equals(name)).findFirst();
    }

    public Optional<Tenant> customer(String name) {
        return customers.stream().filter(tenant -> tenant.name().equals(name)).findFirst();
    }

    /**
     * The facts that the module is to decide by, with everything that can't be changed as it was.
     */
    public Deployment onto(Deployment before) {
        return new Deployment(
                before.gatherers(),
                before.zone(),
                before.tickMs(),
                before.overQuotaPriority(),
                types.stream().map(Type::facts).toList(),
                customers,
                before.layout(),
                limits,
                coldRule,
                budget,
                before.endpointSubscription());
    }
}
