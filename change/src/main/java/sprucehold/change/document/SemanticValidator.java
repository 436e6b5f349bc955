package sprucehold.change.document;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * Whether a document of sound form means something that can be served. Every fault is told, not the
 * first alone.
 */
public final class SemanticValidator {
    /**
     * A budget that lets each scan be tried more than this often again is no limit; a server that
     * is down would be asked by all at once. Three is what one part may be sent beyond its first
     * under the usual limit of four dispatches.
     */
    private static final double MOST_PER_TAKEN = 3;

    private final ConfigurationDocument document;
    private final TreeSet<ValidationError> faults = new TreeSet<>();

    private SemanticValidator(ConfigurationDocument document) {
        this.document = document;
    }

    /** All that contradicts itself in the document. */
    public static List<ValidationError> alone(ConfigurationDocument document) {
        var check = new SemanticValidator(document);
        check.types();
        check.customers();
        check.limits();
        return List.copyOf(check.faults);
    }

    /**
     * All that is wrong with the document where this runs, and what is wrong with it anyway.
     *
     * @param before the document that is live
     */
    public static List<ValidationError> against(
            ConfigurationDocument document, ConfigurationDocument before, RunningState running) {
        var check = new SemanticValidator(document);
        check.faults.addAll(alone(document));
        check.running(before, running);
        return List.copyOf(check.faults);
    }

    private void fault(String path, String what, String mend) {
        faults.add(new ValidationError(path, what, mend));
    }

    private void names(String path, Collection<String> names) {
        Set<String> seen = new HashSet<>();
        int index = 0;
        for (String name : names) {
            if (!seen.add(name)) {
                fault(
                        path + "/" + index + "/name",
                        "'" + name + "' stands twice",
                        "leave one of them out");
            }
            index++;
        }
    }

    private void types() {
        names(
                "/tableTypes",
                document.types().stream().map(ConfigurationDocument.Type::name).toList());
        for (int i = 0; i < document.types().size(); i++) {
            String at = "/tableTypes/" + i;
            QueryClass type = document.types().get(i).facts();
            double timeout = document.types().get(i).queryTimeoutMs();
            if (type.latencyObjectiveMs() >= timeout) {
                fault(
                        at + "/targetMs",
                        "the target time of "
                                + type.latencyObjectiveMs()
                                + " ms isn't under the query timeout of "
                                + timeout
                                + " ms",
                        "lower the one or raise the other");
            }
            if (type.minimumCoverage() > type.completeCoverage()) {
                fault(
                        at + "/leastShare",
                        "the least share "
                                + type.minimumCoverage()
                                + " lies above "
                                + type.completeCoverage()
                                + ", from which an answer is whole",
                        "no answer would ever be given in part: lower it");
            }
            if (type.completeCoverage() <= 0) {
                fault(at + "/wholeFrom", "an answer of nothing would be whole", "set it above 0");
            }
            boolean keyed = type.idempotence() == QueryClass.Idempotence.DEDUPLICATED;
            if (keyed && type.deduplicationWindowMs() <= 0) {
                fault(
                        at + "/keyedWindowMs",
                        "a keyed type without a window could never be sent again",
                        "state its window, or call it non-replayable");
            } else if (!keyed && type.deduplicationWindowMs() > 0) {
                fault(
                        at + "/keyedWindowMs",
                        "a window of a type that isn't keyed means nothing",
                        "leave it out, or call the type keyed");
            }
        }
    }

    private void customers() {
        names("/customers", document.customers().stream().map(Tenant::name).toList());
    }

    private void limits() {
        Deployment.Limits limits = document.limits();
        if (limits.hedging() && limits.attemptsPerPart() < 2) {
            fault(
                    "/limits/secondCopies",
                    "copies are allowed, but a part may be sent once only",
                    "allow two dispatches, or no copies");
        }
        Deployment.RetryBudget budget = document.budget();
        if (budget.perRequest() > MOST_PER_TAKEN) {
            fault(
                    "/dispatchBudget/perTaken",
                    budget.perRequest() + " further dispatches for each scan are no limit",
                    "at most " + MOST_PER_TAKEN + ", or leave the budget out");
        }
        if (!budget.equals(Deployment.RetryBudget.NONE)
                && budget.fixed() == 0
                && budget.perRequest() == 0
                && limits.attemptsPerPart() > 1) {
            fault(
                    "/dispatchBudget",
                    "nothing may ever be sent again, though limits allow "
                            + limits.attemptsPerPart()
                            + " dispatches",
                    "allow one of the two");
        }
        Deployment.SlowStartRule cold = document.coldRule();
        if (cold.startShare() < 1 && cold.warmAfterMs() == 0) {
            fault(
                    "/coldRule/warmAfterMs",
                    "a server that begins cold is never warm",
                    "state when it is warm");
        }
    }

    private void running(ConfigurationDocument before, RunningState running) {
        for (Map.Entry<String, Integer> open : running.openByType().entrySet()) {
            if (open.getValue() > 0
                    && document.type(open.getKey()).isEmpty()
                    && before.type(open.getKey()).isPresent()) {
                fault(
                        "/tableTypes",
                        "'"
                                + open.getKey()
                                + "' is left out while "
                                + open.getValue()
                                + " scans of it are open",
                        "leave it in until they have ended, clients sent elsewhere first");
            }
        }
        if (document.limits().maxOpen() < running.open()) {
            fault(
                    "/limits/maxOpen",
                    "at most "
                            + document.limits().maxOpen()
                            + " may be open, and "
                            + running.open()
                            + " are",
                    "lower it in steps, or when fewer are open");
        }
        var bare = new ArrayList<Integer>();
        running.holders()
                .forEach(
                        (segment, holders) -> {
                            if (!holders.isEmpty() && document.serversOut().containsAll(holders)) {
                                bare.add(segment);
                            }
                        });
        if (!bare.isEmpty()) {
            bare.sort(null);
            fault(
                    "/serversOut",
                    "segments "
                            + (bare.size() > 8
                                    ? bare.subList(0, 8) + " and " + (bare.size() - 8) + " more"
                                    : bare)
                            + " would have no holder left",
                    "leave one of their servers in");
        }
    }
}
