package sprucehold.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates the settings of a deployment before a gatherer uses them. Only keys without a usable
 * default are required. Other keys may be absent, but if present their values must have the right
 * type and range. The keys are described in {@link DeploymentSettings}.
 */
final class DeploymentSettingsValidator {
    private static final int MAX_SHOWN_CHARS = 80;

    private static final Set<String> SEMANTICS = Set.of("retryable", "dedup", "fragile");
    private static final List<String> SAFETY_NUMBERS =
            List.of(
                    "coldFrom",
                    "coldMs",
                    "fallMultiple",
                    "overloadForMs",
                    "mustAskInMs",
                    "budgetFree",
                    "extraRatio",
                    "countedOverMs");

    private DeploymentSettingsValidator() {}

    /** Throws an exception for the first invalid value, with its key and the expected value. */
    static void check(JsonNode settings) throws InvalidSettingsException {
        checkQueryClasses(settings.path("classes"));
        checkTenants(settings.path("tenants"));
        checkFamily(settings.path("familyInfo"), settings.path("classes").size());
        checkLimits(settings.path("limits"));
        var safety = new Section(settings.path("safety"), "safety.");
        for (String key : SAFETY_NUMBERS) {
            safety.optionalNonNegative(key);
        }
        var root = new Section(settings, "");
        root.optionalNonNegative("quantumMs");
        root.optionalPositiveInteger("balancers");
    }

    private static void checkQueryClasses(JsonNode classes) throws InvalidSettingsException {
        if (!classes.isArray() || classes.isEmpty()) {
            throw invalid("classes", classes, "a list with at least one query class");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            checkQueryClass(new Section(classes.get(i), "classes[" + i + "]."), names);
        }
    }

    private static void checkQueryClass(Section queryClass, Set<String> names)
            throws InvalidSettingsException {
        queryClass.requireUniqueName(names);
        JsonNode semantics = queryClass.value("semantics");
        if (!SEMANTICS.contains(semantics.asText())) {
            throw invalid(queryClass.pathOf("semantics"), semantics, "retryable, dedup or fragile");
        }
        queryClass.requirePositive("aimMs");
        queryClass.requirePositive("giveUpMs");
        queryClass.optionalNonNegative("worth");
        queryClass.optionalNonNegative("lateValue");
        if (semantics.asText().equals("dedup")) {
            queryClass.requireNonNegative("windowMs");
        } else {
            queryClass.optionalNonNegative("windowMs");
        }
    }

    private static void checkTenants(JsonNode tenants) throws InvalidSettingsException {
        if (!tenants.isMissingNode() && !tenants.isArray()) {
            throw invalid("tenants", tenants, "a list");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < tenants.size(); i++) {
            var tenant = new Section(tenants.get(i), "tenants[" + i + "].");
            tenant.requireUniqueName(names);
            tenant.requireNonNegative("allowancePerS");
        }
    }

    private static void checkFamily(JsonNode node, int queryClasses)
            throws InvalidSettingsException {
        var family = new Section(node, "familyInfo.");
        family.requirePositiveInteger("ranges");
        family.requirePositiveInteger("sets");
        family.optionalPositiveInteger("width");
        family.optionalPositiveInteger("bundleMax");
        family.optionalShares("completeFrom", queryClasses);
        family.optionalShares("leastShare", queryClasses);
    }

    private static void checkLimits(JsonNode node) throws InvalidSettingsException {
        var limits = new Section(node, "limits.");
        limits.requirePositive("dialTimeoutMs");
        limits.requirePositive("idleCloseMs");
        limits.optionalPositiveInteger("streamsPerConn");
        limits.optionalPositiveInteger("sendCap");
        limits.optionalPositiveInteger("maxOpen");
    }

    /**
     * JSON object in the settings.
     *
     * @param node the object, may be missing
     * @param pathPrefix path of the object followed by a dot; empty for the root object
     */
    private record Section(JsonNode node, String pathPrefix) {
        JsonNode value(String key) {
            return node.path(key);
        }

        String pathOf(String key) {
            return pathPrefix + key;
        }

        void requireUniqueName(Set<String> names) throws InvalidSettingsException {
            JsonNode name = value("name");
            if (!name.isTextual() || name.asText().isEmpty()) {
                throw invalid(pathOf("name"), name, "a non-empty string");
            } else if (!names.add(name.asText())) {
                throw invalid(pathOf("name"), name, "a name that no earlier entry has");
            }
        }

        void requirePositive(String key) throws InvalidSettingsException {
            if (!(numberOrNaN(value(key)) > 0)) {
                throw invalid(pathOf(key), value(key), "a number above 0");
            }
        }

        void requireNonNegative(String key) throws InvalidSettingsException {
            if (!(numberOrNaN(value(key)) >= 0)) {
                throw invalid(pathOf(key), value(key), "a number of at least 0");
            }
        }

        void optionalNonNegative(String key) throws InvalidSettingsException {
            if (!value(key).isMissingNode()) {
                requireNonNegative(key);
            }
        }

        void requirePositiveInteger(String key) throws InvalidSettingsException {
            if (!value(key).isIntegralNumber() || value(key).longValue() < 1) {
                throw invalid(pathOf(key), value(key), "a whole number of at least 1");
            }
        }

        void optionalPositiveInteger(String key) throws InvalidSettingsException {
            if (!value(key).isMissingNode()) {
                requirePositiveInteger(key);
            }
        }

        void optionalShares(String key, int queryClasses) throws InvalidSettingsException {
            JsonNode shares = value(key);
            if (shares.isMissingNode()) {
                return;
            }
            if (!shares.isArray() || shares.size() != queryClasses) {
                throw invalid(
                        pathOf(key),
                        shares,
                        "a list with one share for each of the " + queryClasses + " query classes");
            }
            for (int i = 0; i < queryClasses; i++) {
                double share = numberOrNaN(shares.get(i));
                if (!(share >= 0 && share <= 1)) {
                    throw invalid(
                            pathOf(key) + "[" + i + "]", shares.get(i), "a share from 0 to 1");
                }
            }
        }
    }

    private static double numberOrNaN(JsonNode value) {
        return value.isNumber() ? value.doubleValue() : Double.NaN;
    }

    private static InvalidSettingsException invalid(String path, JsonNode value, String expected) {
        String found = value.isMissingNode() ? "is missing" : "is " + value;
        String shown =
                found.length() > MAX_SHOWN_CHARS
                        ? found.substring(0, MAX_SHOWN_CHARS) + "..."
                        : found;
        return new InvalidSettingsException(
                "settings." + path + " " + shown + ", expected " + expected);
    }
}
