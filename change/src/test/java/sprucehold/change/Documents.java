package sprucehold.change;

import java.util.List;
import java.util.TreeSet;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/** Configuration documents for tests. */
final class Documents {
    private Documents() {}

    static ConfigurationDocument.QueryClassSettings type(
            String name,
            QueryClass.Idempotence idempotence,
            double objectiveMs,
            double deadlineMs) {
        return new ConfigurationDocument.QueryClassSettings(
                new QueryClass(
                        name,
                        idempotence,
                        objectiveMs,
                        1,
                        0.1,
                        idempotence == QueryClass.Idempotence.DEDUPLICATED ? 3000 : 0,
                        1,
                        0.5,
                        0),
                deadlineMs);
    }

    static ConfigurationDocument basic() {
        return with(
                List.of(
                        type("offers", QueryClass.Idempotence.IDEMPOTENT, 800, 2000),
                        type("stamps", QueryClass.Idempotence.NON_IDEMPOTENT, 800, 2000)),
                List.of(new Tenant("acme", 20), new Tenant("bolt", 5)),
                200);
    }

    static ConfigurationDocument with(
            List<ConfigurationDocument.QueryClassSettings> types,
            List<Tenant> tenants,
            int maxOpen,
            String... drained) {
        return new ConfigurationDocument(
                types,
                tenants,
                new Deployment.Limits(4, maxOpen, true, true, 1000),
                new Deployment.RetryBudget(10, 0.2, 10_000),
                new Deployment.SlowStartRule(0.2, 15_000, 4, 1000),
                new TreeSet<>(List.of(drained)),
                "",
                "",
                "INFO");
    }

    /**
     * Returns a variant of the basic document.
     *
     * @param increase number by which the limit of open items is raised
     * @param drained names of the drained servers
     */
    static ConfigurationDocument variant(int increase, String... drained) {
        return with(basic().queryClasses(), basic().tenants(), 200 + increase, drained);
    }
}
