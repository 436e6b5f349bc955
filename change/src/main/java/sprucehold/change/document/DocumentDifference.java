package sprucehold.change.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * What a change means, a sentence each, and how much it risks.
 *
 * @param words what it means, what risks most first
 * @param risk the greatest of all
 */
public record DocumentDifference(List<Meaning> words, Risk risk) {
    /** How much a change may harm. */
    public enum Risk {
        /** Nothing that is served depends on it. */
        NONE,
        /** It loosens something, or tightens it by little. */
        LOW,
        /** It takes room, time or shares from somebody. */
        MIDDLE,
        /** It takes much of them, or changes what may run twice. */
        HIGH
    }

    /** One sentence, and its risk. */
    public record Meaning(String path, String words, Risk risk) {}

    /**
     * Beyond a quarter less, service as a rule falls where there was little to spare; a twentieth
     * is noise.
     */
    private static final double MUCH = 0.25;

    private static final double LITTLE = 0.05;

    /** What changes from one document to the next. */
    public static DocumentDifference between(
            ConfigurationDocument before, ConfigurationDocument after) {
        var words = new ArrayList<Meaning>();
        types(before, after, words);
        customers(before, after, words);
        limits(before.limits(), after.limits(), words);
        budget(before.budget(), after.budget(), words);
        cold(before.coldRule(), after.coldRule(), words);
        servers(before, after, words);
        if (!before.discovery().equals(after.discovery())) {
            words.add(
                    new Meaning(
                            "/discovery",
                            "the list is asked for at "
                                    + (after.discovery().isEmpty()
                                            ? "where the start said"
                                            : after.discovery()),
                            Risk.MIDDLE));
        }
        if (!before.recording().equals(after.recording())) {
            words.add(
                    new Meaning(
                            "/recording",
                            after.recording().isEmpty()
                                    ? "nothing is recorded any more"
                                    : "decisions are recorded as " + after.recording() + " says",
                            Risk.LOW));
        }
        if (!before.logLevel().equals(after.logLevel())) {
            words.add(
                    new Meaning(
                            "/logLevel",
                            "lines from "
                                    + after.logLevel()
                                    + " on are logged, not from "
                                    + before.logLevel()
                                    + " on",
                            Risk.NONE));
        }
        words.sort((a, b) -> b.risk.compareTo(a.risk));
        return new DocumentDifference(
                List.copyOf(words), words.isEmpty() ? Risk.NONE : words.get(0).risk);
    }

    private static void types(
            ConfigurationDocument before, ConfigurationDocument after, List<Meaning> words) {
        for (ConfigurationDocument.Type type : after.types()) {
            String at = "/tableTypes/" + type.name();
            ConfigurationDocument.Type was = before.type(type.name()).orElse(null);
            if (was == null) {
                words.add(new Meaning(at, "scans of '" + type.name() + "' are served", Risk.LOW));
                continue;
            }
            QueryClass a = was.facts();
            QueryClass b = type.facts();
            if (a.idempotence() != b.idempotence()) {
                boolean looser = a.idempotence().isStricterThan(b.idempotence());
                words.add(
                        new Meaning(
                                at + "/repeat",
                                "parts of '"
                                        + type.name()
                                        + "' taken from now on are "
                                        + repeat(b)
                                        + ", not "
                                        + repeat(a)
                                        + (looser
                                                ? "; what is out stays " + repeat(a)
                                                : "; what is out isn't sent again either"),
                                Risk.HIGH));
            }
            number(
                    at + "/targetMs",
                    "the target time of '" + type.name() + "'",
                    a.latencyObjectiveMs(),
                    b.latencyObjectiveMs(),
                    " ms",
                    true,
                    words);
            number(
                    at + "/queryTimeoutMs",
                    "the query timeout of '" + type.name() + "'",
                    was.queryTimeoutMs(),
                    type.queryTimeoutMs(),
                    " ms",
                    true,
                    words);
            number(
                    at + "/benefit",
                    "the benefit of '" + type.name() + "'",
                    a.priorityWeight(),
                    b.priorityWeight(),
                    "",
                    true,
                    words);
            number(
                    at + "/lateShare",
                    "what a late answer of '" + type.name() + "' is worth",
                    a.lateWeight(),
                    b.lateWeight(),
                    "",
                    true,
                    words);
            number(
                    at + "/wholeFrom",
                    "the share from which '" + type.name() + "' is whole",
                    a.completeCoverage(),
                    b.completeCoverage(),
                    "",
                    false,
                    words);
            number(
                    at + "/leastShare",
                    "the least share of '" + type.name() + "'",
                    a.minimumCoverage(),
                    b.minimumCoverage(),
                    "",
                    false,
                    words);
            number(
                    at + "/keyedWindowMs",
                    "the keyed window of '" + type.name() + "'",
                    a.deduplicationWindowMs(),
                    b.deduplicationWindowMs(),
                    " ms",
                    true,
                    words);
        }
        for (ConfigurationDocument.Type type : before.types()) {
            if (after.type(type.name()).isEmpty()) {
                words.add(
                        new Meaning(
                                "/tableTypes/" + type.name(),
                                "scans of '" + type.name() + "' are not taken any more",
                                Risk.HIGH));
            }
        }
    }

    private static String repeat(QueryClass type) {
        return type.idempotence().storedName().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static void customers(
            ConfigurationDocument before, ConfigurationDocument after, List<Meaning> words) {
        for (Tenant tenant : after.customers()) {
            Tenant was = before.customer(tenant.name()).orElse(null);
            if (was == null) {
                words.add(
                        new Meaning(
                                "/customers/" + tenant.name(),
                                "customer '"
                                        + tenant.name()
                                        + "' has a share of "
                                        + number(tenant.queriesPerSecond())
                                        + " scans/s",
                                Risk.LOW));
            } else {
                number(
                        "/customers/" + tenant.name(),
                        "the share of customer '" + tenant.name() + "'",
                        was.queriesPerSecond(),
                        tenant.queriesPerSecond(),
                        " scans/s",
                        true,
                        words);
            }
        }
        for (Tenant tenant : before.customers()) {
            if (after.customer(tenant.name()).isEmpty()) {
                words.add(
                        new Meaning(
                                "/customers/" + tenant.name(),
                                "customer '"
                                        + tenant.name()
                                        + "' has no share any more; its scans count as nobody's",
                                Risk.HIGH));
            }
        }
    }

    private static void limits(Deployment.Limits a, Deployment.Limits b, List<Meaning> words) {
        number(
                "/limits/maxOpen",
                "what may be open at once",
                a.maxOpen(),
                b.maxOpen(),
                "",
                true,
                words);
        number(
                "/limits/dispatchesPerPart",
                "dispatches of a part",
                a.attemptsPerPart(),
                b.attemptsPerPart(),
                "",
                true,
                words);
        number(
                "/limits/maxComeBackMs",
                "the longest time after which clients are asked back",
                a.maxRetryAfterMs(),
                b.maxRetryAfterMs(),
                " ms",
                true,
                words);
        flag("/limits/secondCopies", "second copies", a.hedging(), b.hedging(), words);
        flag("/limits/cancel", "calling dispatches off", a.cancellation(), b.cancellation(), words);
    }

    private static void budget(
            Deployment.RetryBudget a, Deployment.RetryBudget b, List<Meaning> words) {
        if (!Objects.equals(a, b)) {
            boolean none = b.equals(Deployment.RetryBudget.NONE);
            boolean less =
                    !none
                            && (a.equals(Deployment.RetryBudget.NONE)
                                    || b.fixed() < a.fixed()
                                    || b.perRequest() < a.perRequest());
            words.add(
                    new Meaning(
                            "/dispatchBudget",
                            none
                                    ? "further dispatches have no budget any more"
                                    : "further dispatches may be "
                                            + number(b.fixed())
                                            + " and "
                                            + number(b.perRequest())
                                            + " for each scan taken, in any "
                                            + number(b.windowMs())
                                            + " ms",
                            less ? Risk.MIDDLE : Risk.LOW));
        }
    }

    private static void cold(
            Deployment.SlowStartRule a, Deployment.SlowStartRule b, List<Meaning> words) {
        if (!a.equals(b)) {
            boolean looser =
                    b.startShare() > a.startShare()
                            || b.warmAfterMs() < a.warmAfterMs()
                            || b.overloadFactor() > a.overloadFactor();
            words.add(
                    new Meaning(
                            "/coldRule",
                            "a server that has just started is taken to do "
                                    + number(100 * b.startShare())
                                    + "% and to be warm after "
                                    + number(b.warmAfterMs())
                                    + " ms; it falls over at "
                                    + number(b.overloadFactor())
                                    + " times that for "
                                    + number(b.windowMs())
                                    + " ms"
                                    + (looser ? ": more may be sent to it than before" : ""),
                            looser ? Risk.HIGH : Risk.MIDDLE));
        }
    }

    private static void servers(
            ConfigurationDocument before, ConfigurationDocument after, List<Meaning> words) {
        SortedSet<String> out = new TreeSet<>(after.serversOut());
        out.removeAll(before.serversOut());
        SortedSet<String> back = new TreeSet<>(before.serversOut());
        back.removeAll(after.serversOut());
        if (!out.isEmpty()) {
            words.add(
                    new Meaning(
                            "/serversOut",
                            "nothing new goes to " + String.join(", ", out),
                            out.size() > 1 ? Risk.HIGH : Risk.MIDDLE));
        }
        if (!back.isEmpty()) {
            words.add(
                    new Meaning(
                            "/serversOut",
                            String.join(", ", back)
                                    + (back.size() == 1 ? " is" : " are")
                                    + " given back, as if freshly started; what discovery says of them still holds",
                            Risk.LOW));
        }
    }

    /**
     * @param lessTakes whether a smaller number takes something away; otherwise a greater one does
     */
    private static void number(
            String path,
            String what,
            double a,
            double b,
            String unit,
            boolean lessTakes,
            List<Meaning> words) {
        if (a == b) {
            return;
        }
        double taken =
                lessTakes
                        ? (a - b) / Math.max(Math.abs(a), 1e-9)
                        : (b - a) / Math.max(Math.abs(b), 1e-9);
        Risk risk = taken >= MUCH ? Risk.HIGH : taken > LITTLE ? Risk.MIDDLE : Risk.LOW;
        words.add(
                new Meaning(
                        path,
                        what
                                + (b < a ? " falls from " : " rises from ")
                                + number(a)
                                + " to "
                                + number(b)
                                + unit,
                        risk));
    }

    private static void flag(String path, String what, boolean a, boolean b, List<Meaning> words) {
        if (a != b) {
            words.add(
                    new Meaning(
                            path,
                            what + (b ? " is allowed" : " is not allowed any more"),
                            b ? Risk.LOW : Risk.MIDDLE));
        }
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.4g", value);
    }
}
