package sprucehold.change.document;

import static sprucehold.change.document.ChangeList.Restrictive.WHEN_HIGHER;
import static sprucehold.change.document.ChangeList.Restrictive.WHEN_LOWER;
import static sprucehold.change.document.ChangeList.format;

import java.util.SortedSet;
import java.util.TreeSet;
import sprucehold.change.document.ConfigurationDocument.QueryClassSettings;
import sprucehold.change.document.DocumentDifference.Risk;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * Compares two documents section by section. Descriptions use the paths and terms of the JSON
 * document.
 */
final class DocumentComparison {
    private final ConfigurationDocument before;
    private final ConfigurationDocument after;
    private final ChangeList changes = new ChangeList();

    DocumentComparison(ConfigurationDocument before, ConfigurationDocument after) {
        this.before = before;
        this.after = after;
    }

    DocumentDifference difference() {
        compareQueryClasses();
        compareTenants();
        compareLimits(before.limits(), after.limits());
        compareRetryBudget(before.retryBudget(), after.retryBudget());
        compareSlowStart(before.slowStart(), after.slowStart());
        compareDrainedServers();
        compareDiscovery();
        compareRecording();
        compareLogLevel();
        return changes.toDifference();
    }

    private void compareQueryClasses() {
        for (QueryClassSettings now : after.queryClasses()) {
            QueryClassSettings former = before.queryClass(now.name()).orElse(null);
            if (former == null) {
                changes.add(
                        queryClassPath(now.name()),
                        "scans of '" + now.name() + "' are served",
                        Risk.LOW);
            } else {
                compareIdempotence(former.queryClass(), now.queryClass());
                compareTimes(former, now);
                compareWeightsAndCoverage(former.queryClass(), now.queryClass());
            }
        }
        for (QueryClassSettings former : before.queryClasses()) {
            if (after.queryClass(former.name()).isEmpty()) {
                changes.add(
                        queryClassPath(former.name()),
                        "scans of '" + former.name() + "' are not taken any more",
                        Risk.HIGH);
            }
        }
    }

    private static String queryClassPath(String name) {
        return "/tableTypes/" + name;
    }

    private void compareIdempotence(QueryClass former, QueryClass now) {
        if (former.idempotence() == now.idempotence()) {
            return;
        }
        String formerName = DocumentReader.documentName(former.idempotence());
        boolean looser = former.idempotence().isStricterThan(now.idempotence());
        changes.add(
                queryClassPath(now.name()) + "/repeat",
                "parts of '"
                        + now.name()
                        + "' taken from now on are "
                        + DocumentReader.documentName(now.idempotence())
                        + ", not "
                        + formerName
                        + (looser
                                ? "; what is out stays " + formerName
                                : "; what is out isn't sent again either"),
                Risk.HIGH);
    }

    private void compareTimes(QueryClassSettings former, QueryClassSettings now) {
        String path = queryClassPath(now.name());
        String name = "'" + now.name() + "'";
        changes.compareNumbers(
                path + "/targetMs",
                "the target time of " + name,
                former.queryClass().latencyObjectiveMs(),
                now.queryClass().latencyObjectiveMs(),
                " ms",
                WHEN_LOWER);
        changes.compareNumbers(
                path + "/queryTimeoutMs",
                "the query timeout of " + name,
                former.deadlineMs(),
                now.deadlineMs(),
                " ms",
                WHEN_LOWER);
    }

    private void compareWeightsAndCoverage(QueryClass former, QueryClass now) {
        String path = queryClassPath(now.name());
        String name = "'" + now.name() + "'";
        changes.compareNumbers(
                path + "/benefit",
                "the benefit of " + name,
                former.priorityWeight(),
                now.priorityWeight(),
                "",
                WHEN_LOWER);
        changes.compareNumbers(
                path + "/lateShare",
                "what a late answer of " + name + " is worth",
                former.lateWeight(),
                now.lateWeight(),
                "",
                WHEN_LOWER);
        changes.compareNumbers(
                path + "/wholeFrom",
                "the share from which " + name + " is whole",
                former.completeCoverage(),
                now.completeCoverage(),
                "",
                WHEN_HIGHER);
        changes.compareNumbers(
                path + "/leastShare",
                "the least share of " + name,
                former.minimumCoverage(),
                now.minimumCoverage(),
                "",
                WHEN_HIGHER);
        changes.compareNumbers(
                path + "/keyedWindowMs",
                "the keyed window of " + name,
                former.deduplicationWindowMs(),
                now.deduplicationWindowMs(),
                " ms",
                WHEN_LOWER);
    }

    private void compareTenants() {
        for (Tenant now : after.tenants()) {
            String path = "/customers/" + now.name();
            Tenant former = before.tenant(now.name()).orElse(null);
            if (former == null) {
                changes.add(
                        path,
                        "customer '"
                                + now.name()
                                + "' has a share of "
                                + format(now.queriesPerSecond())
                                + " scans/s",
                        Risk.LOW);
            } else {
                changes.compareNumbers(
                        path,
                        "the share of customer '" + now.name() + "'",
                        former.queriesPerSecond(),
                        now.queriesPerSecond(),
                        " scans/s",
                        WHEN_LOWER);
            }
        }
        for (Tenant former : before.tenants()) {
            if (after.tenant(former.name()).isEmpty()) {
                changes.add(
                        "/customers/" + former.name(),
                        "customer '"
                                + former.name()
                                + "' has no share any more; its scans count as nobody's",
                        Risk.HIGH);
            }
        }
    }

    private void compareLimits(Deployment.Limits former, Deployment.Limits now) {
        changes.compareNumbers(
                "/limits/maxOpen",
                "what may be open at once",
                former.maxOpen(),
                now.maxOpen(),
                "",
                WHEN_LOWER);
        changes.compareNumbers(
                "/limits/dispatchesPerPart",
                "dispatches of a part",
                former.attemptsPerPart(),
                now.attemptsPerPart(),
                "",
                WHEN_LOWER);
        changes.compareNumbers(
                "/limits/maxComeBackMs",
                "the longest time after which clients are asked back",
                former.maxRetryAfterMs(),
                now.maxRetryAfterMs(),
                " ms",
                WHEN_LOWER);
        changes.compareFlags(
                "/limits/secondCopies", "second copies", former.hedging(), now.hedging());
        changes.compareFlags(
                "/limits/cancel",
                "calling dispatches off",
                former.cancellation(),
                now.cancellation());
    }

    private void compareRetryBudget(Deployment.RetryBudget former, Deployment.RetryBudget now) {
        if (former.equals(now)) {
            return;
        }
        if (now.equals(Deployment.RetryBudget.NONE)) {
            changes.add("/dispatchBudget", "further dispatches have no budget any more", Risk.LOW);
            return;
        }
        boolean lower =
                former.equals(Deployment.RetryBudget.NONE)
                        || now.fixed() < former.fixed()
                        || now.perRequest() < former.perRequest();
        changes.add(
                "/dispatchBudget",
                "further dispatches may be "
                        + format(now.fixed())
                        + " and "
                        + format(now.perRequest())
                        + " for each scan taken, in any "
                        + format(now.windowMs())
                        + " ms",
                lower ? Risk.MIDDLE : Risk.LOW);
    }

    private void compareSlowStart(Deployment.SlowStartRule former, Deployment.SlowStartRule now) {
        if (former.equals(now)) {
            return;
        }
        boolean looser =
                now.startShare() > former.startShare()
                        || now.warmAfterMs() < former.warmAfterMs()
                        || now.overloadFactor() > former.overloadFactor();
        changes.add(
                "/coldRule",
                "a server that has just started is taken to do "
                        + format(100 * now.startShare())
                        + "% and to be warm after "
                        + format(now.warmAfterMs())
                        + " ms; it falls over at "
                        + format(now.overloadFactor())
                        + " times that for "
                        + format(now.windowMs())
                        + " ms"
                        + (looser ? ": more may be sent to it than before" : ""),
                looser ? Risk.HIGH : Risk.MIDDLE);
    }

    private void compareDrainedServers() {
        SortedSet<String> drained = new TreeSet<>(after.drainedServers());
        drained.removeAll(before.drainedServers());
        SortedSet<String> returned = new TreeSet<>(before.drainedServers());
        returned.removeAll(after.drainedServers());
        if (!drained.isEmpty()) {
            changes.add(
                    "/serversOut",
                    "nothing new goes to " + String.join(", ", drained),
                    drained.size() > 1 ? Risk.HIGH : Risk.MIDDLE);
        }
        if (!returned.isEmpty()) {
            changes.add(
                    "/serversOut",
                    String.join(", ", returned)
                            + (returned.size() == 1 ? " is" : " are")
                            + " given back, as if freshly started; what discovery says of them still holds",
                    Risk.LOW);
        }
    }

    private void compareDiscovery() {
        if (!before.discovery().equals(after.discovery())) {
            String address =
                    after.discovery().isEmpty() ? "where the start said" : after.discovery();
            changes.add("/discovery", "the list is asked for at " + address, Risk.MIDDLE);
        }
    }

    private void compareRecording() {
        if (!before.recording().equals(after.recording())) {
            changes.add(
                    "/recording",
                    after.recording().isEmpty()
                            ? "nothing is recorded any more"
                            : "decisions are recorded as " + after.recording() + " says",
                    Risk.LOW);
        }
    }

    private void compareLogLevel() {
        if (!before.logLevel().equals(after.logLevel())) {
            changes.add(
                    "/logLevel",
                    "lines from "
                            + after.logLevel()
                            + " on are logged, not from "
                            + before.logLevel()
                            + " on",
                    Risk.NONE);
        }
    }
}
