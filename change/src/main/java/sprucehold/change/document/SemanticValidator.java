package sprucehold.change.document;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sprucehold.change.document.ConfigurationDocument.QueryClassSettings;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * Checks what the JSON schema can't express: whether the values of a document are consistent with
 * each other and with the running state of the gatherer. All errors are reported, not only the
 * first. Errors use the paths and terms of the JSON document.
 */
public final class SemanticValidator {
    /**
     * Largest retry budget per query. The usual limit of four attempts allows three retries of a
     * part, so a larger budget would limit nothing.
     */
    private static final double MAX_RETRIES_PER_QUERY = 3;

    /**
     * Number of shards without a replica that an error lists by number; for the others it states
     * only how many they are.
     */
    private static final int MAX_SHARDS_NAMED = 8;

    private final ConfigurationDocument document;
    private final TreeSet<ValidationError> errors = new TreeSet<>();

    private SemanticValidator(ConfigurationDocument document) {
        this.document = document;
    }

    /** Returns all contradictions within a document, ordered by path. */
    public static List<ValidationError> validate(ConfigurationDocument document) {
        var validator = new SemanticValidator(document);
        validator.checkDocument();
        return List.copyOf(validator.errors);
    }

    /**
     * Returns all contradictions within a document and with the running state, ordered by path.
     *
     * @param live the document that is live
     * @param running the running state of the gatherer
     */
    public static List<ValidationError> validateAgainst(
            ConfigurationDocument document, ConfigurationDocument live, RunningState running) {
        var validator = new SemanticValidator(document);
        validator.checkDocument();
        validator.checkOpenQueries(live, running);
        validator.checkOpenItems(running);
        validator.checkReplicas(running);
        return List.copyOf(validator.errors);
    }

    private void checkDocument() {
        checkQueryClasses();
        checkTenants();
        checkLimits();
        checkRetryBudget();
        checkSlowStart();
    }

    private void report(String path, String problem, String remedy) {
        errors.add(new ValidationError(path, problem, remedy));
    }

    private void checkUnique(String path, Collection<String> names) {
        Set<String> seen = new HashSet<>();
        int index = 0;
        for (String name : names) {
            if (!seen.add(name)) {
                report(
                        path + "/" + index + "/name",
                        "'" + name + "' stands twice",
                        "leave one of them out");
            }
            index++;
        }
    }

    private void checkQueryClasses() {
        checkUnique(
                "/tableTypes",
                document.queryClasses().stream().map(QueryClassSettings::name).toList());
        int index = 0;
        for (QueryClassSettings settings : document.queryClasses()) {
            String path = "/tableTypes/" + index;
            checkTimes(path, settings);
            checkCoverage(path, settings.queryClass());
            checkDeduplication(path, settings.queryClass());
            index++;
        }
    }

    private void checkTimes(String path, QueryClassSettings settings) {
        double objectiveMs = settings.queryClass().latencyObjectiveMs();
        if (objectiveMs >= settings.deadlineMs()) {
            report(
                    path + "/targetMs",
                    "the target time of "
                            + objectiveMs
                            + " ms isn't under the query timeout of "
                            + settings.deadlineMs()
                            + " ms",
                    "lower the one or raise the other");
        }
    }

    private void checkCoverage(String path, QueryClass queryClass) {
        if (queryClass.minimumCoverage() > queryClass.completeCoverage()) {
            report(
                    path + "/leastShare",
                    "the least share "
                            + queryClass.minimumCoverage()
                            + " lies above "
                            + queryClass.completeCoverage()
                            + ", from which an answer is whole",
                    "no answer would ever be given in part: lower it");
        }
        if (queryClass.completeCoverage() <= 0) {
            report(path + "/wholeFrom", "an answer of nothing would be whole", "set it above 0");
        }
    }

    private void checkDeduplication(String path, QueryClass queryClass) {
        boolean deduplicated = queryClass.idempotence() == QueryClass.Idempotence.DEDUPLICATED;
        boolean hasWindow = queryClass.deduplicationWindowMs() > 0;
        if (deduplicated && !hasWindow) {
            report(
                    path + "/keyedWindowMs",
                    "a keyed type without a window could never be sent again",
                    "state its window, or call it non-replayable");
        } else if (!deduplicated && hasWindow) {
            report(
                    path + "/keyedWindowMs",
                    "a window of a type that isn't keyed means nothing",
                    "leave it out, or call the type keyed");
        }
    }

    private void checkTenants() {
        checkUnique("/customers", document.tenants().stream().map(Tenant::name).toList());
    }

    private void checkLimits() {
        Deployment.Limits limits = document.limits();
        if (limits.hedging() && limits.attemptsPerPart() < 2) {
            report(
                    "/limits/secondCopies",
                    "copies are allowed, but a part may be sent once only",
                    "allow two dispatches, or no copies");
        }
    }

    private void checkRetryBudget() {
        Deployment.RetryBudget budget = document.retryBudget();
        int attemptsPerPart = document.limits().attemptsPerPart();
        if (budget.perRequest() > MAX_RETRIES_PER_QUERY) {
            report(
                    "/dispatchBudget/perTaken",
                    budget.perRequest() + " further dispatches for each scan are no limit",
                    "at most " + MAX_RETRIES_PER_QUERY + ", or leave the budget out");
        }
        boolean empty =
                !budget.equals(Deployment.RetryBudget.NONE)
                        && budget.fixed() == 0
                        && budget.perRequest() == 0;
        if (empty && attemptsPerPart > 1) {
            report(
                    "/dispatchBudget",
                    "nothing may ever be sent again, though limits allow "
                            + attemptsPerPart
                            + " dispatches",
                    "allow one of the two");
        }
    }

    private void checkSlowStart() {
        Deployment.SlowStartRule slowStart = document.slowStart();
        if (slowStart.startShare() < 1 && slowStart.warmAfterMs() == 0) {
            report(
                    "/coldRule/warmAfterMs",
                    "a server that begins cold is never warm",
                    "state when it is warm");
        }
    }

    private void checkOpenQueries(ConfigurationDocument live, RunningState running) {
        for (Map.Entry<String, Integer> open : running.openQueriesByClass().entrySet()) {
            String name = open.getKey();
            boolean removed =
                    document.queryClass(name).isEmpty() && live.queryClass(name).isPresent();
            if (open.getValue() > 0 && removed) {
                report(
                        "/tableTypes",
                        "'"
                                + name
                                + "' is left out while "
                                + open.getValue()
                                + " scans of it are open",
                        "leave it in until they have ended, clients sent elsewhere first");
            }
        }
    }

    private void checkOpenItems(RunningState running) {
        if (document.limits().maxOpen() < running.openItems()) {
            report(
                    "/limits/maxOpen",
                    "at most "
                            + document.limits().maxOpen()
                            + " may be open, and "
                            + running.openItems()
                            + " are",
                    "lower it in steps, or when fewer are open");
        }
    }

    private void checkReplicas(RunningState running) {
        var uncovered = new ArrayList<Integer>();
        running.replicasByShard()
                .forEach(
                        (shard, replicas) -> {
                            if (!replicas.isEmpty()
                                    && document.drainedServers().containsAll(replicas)) {
                                uncovered.add(shard);
                            }
                        });
        if (uncovered.isEmpty()) {
            return;
        }
        uncovered.sort(null);
        int further = uncovered.size() - MAX_SHARDS_NAMED;
        String shardList =
                further > 0
                        ? uncovered.subList(0, MAX_SHARDS_NAMED) + " and " + further + " more"
                        : uncovered.toString();
        report(
                "/serversOut",
                "segments " + shardList + " would have no holder left",
                "leave one of their servers in");
    }
}
