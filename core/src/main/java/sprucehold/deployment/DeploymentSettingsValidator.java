package sprucehold.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Finds what the settings of a deployment lack or contradict before anything is served by them.
 * Only what nobody can serve without is required: keys that have a sound default may be absent, but
 * their values not be of another kind. The keys are those of {@link DeploymentSettings}.
 */
final class DeploymentSettingsValidator {
    private static final int LONGEST_VALUE_SHOWN = 80;

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

    /** Throws at the first value that can't be used, naming its key and what was expected. */
    static void check(JsonNode settings) throws InvalidSettingsException {
        checkQueryClasses(settings.path("classes"));
        checkTenants(settings.path("tenants"));
        checkFamily(settings.path("familyInfo"), settings.path("classes").size());
        checkLimits(settings.path("limits"));
        var safety = new Section(settings.path("safety"), "safety.");
        for (String key : SAFETY_NUMBERS) {
            safety.optionalNonNegative(key);
        }
        var top = new Section(settings, "");
        top.optionalNonNegative("quantumMs");
        top.optionalCount("balancers");
    }

    private static void checkQueryClasses(JsonNode classes) throws InvalidSettingsException {
        if (!classes.isArray() || classes.isEmpty()) {
            throw unusable("classes", classes, "a list with at least one table type");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            checkQueryClass(new Section(classes.get(i), "classes[" + i + "]."), names);
        }
    }

    private static void checkQueryClass(Section queryClass, Set<String> names)
            throws InvalidSettingsException {
        queryClass.uniqueName(names);
        JsonNode semantics = queryClass.value("semantics");
        if (!SEMANTICS.contains(semantics.asText())) {
            throw unusable(queryClass.place("semantics"), semantics, "retryable, dedup or fragile");
        }
        queryClass.positive("aimMs");
        queryClass.positive("giveUpMs");
        queryClass.optionalNonNegative("worth");
        queryClass.optionalNonNegative("lateValue");
        if (semantics.asText().equals("dedup")) {
            queryClass.nonNegative("windowMs");
        } else {
            queryClass.optionalNonNegative("windowMs");
        }
    }

    private static void checkTenants(JsonNode tenants) throws InvalidSettingsException {
        if (!tenants.isMissingNode() && !tenants.isArray()) {
            throw unusable("tenants", tenants, "a list");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < tenants.size(); i++) {
            var tenant = new Section(tenants.get(i), "tenants[" + i + "].");
            tenant.uniqueName(names);
            tenant.nonNegative("allowancePerS");
        }
    }

    private static void checkFamily(JsonNode node, int queryClasses)
            throws InvalidSettingsException {
        var family = new Section(node, "familyInfo.");
        family.count("ranges");
        family.count("sets");
        family.optionalCount("width");
        family.optionalCount("bundleMax");
        family.optionalShares("completeFrom", queryClasses);
        family.optionalShares("leastShare", queryClasses);
    }

    private static void checkLimits(JsonNode node) throws InvalidSettingsException {
        var limits = new Section(node, "limits.");
        limits.positive("dialTimeoutMs");
        limits.positive("idleCloseMs");
        limits.optionalCount("streamsPerConn");
        limits.optionalCount("sendCap");
        limits.optionalCount("maxOpen");
    }

    /**
     * An object of the settings.
     *
     * @param node the object, perhaps missing
     * @param path where it stands, ending with a dot unless empty
     */
    private record Section(JsonNode node, String path) {
        JsonNode value(String key) {
            return node.path(key);
        }

        String place(String key) {
            return path + key;
        }

        void uniqueName(Set<String> names) throws InvalidSettingsException {
            JsonNode name = value("name");
            if (!name.isTextual() || name.asText().isEmpty()) {
                throw unusable(place("name"), name, "a name");
            } else if (!names.add(name.asText())) {
                throw unusable(place("name"), name, "another name than those before it");
            }
        }

        void positive(String key) throws InvalidSettingsException {
            if (!(numberOrNaN(value(key)) > 0)) {
                throw unusable(place(key), value(key), "a number above 0");
            }
        }

        void nonNegative(String key) throws InvalidSettingsException {
            if (!(numberOrNaN(value(key)) >= 0)) {
                throw unusable(place(key), value(key), "a number of at least 0");
            }
        }

        void optionalNonNegative(String key) throws InvalidSettingsException {
            if (!value(key).isMissingNode()) {
                nonNegative(key);
            }
        }

        void count(String key) throws InvalidSettingsException {
            if (!value(key).isIntegralNumber() || value(key).longValue() < 1) {
                throw unusable(place(key), value(key), "a whole number of at least 1");
            }
        }

        void optionalCount(String key) throws InvalidSettingsException {
            if (!value(key).isMissingNode()) {
                count(key);
            }
        }

        void optionalShares(String key, int queryClasses) throws InvalidSettingsException {
            JsonNode shares = value(key);
            if (shares.isMissingNode()) {
                return;
            }
            if (!shares.isArray() || shares.size() != queryClasses) {
                throw unusable(
                        place(key), shares, "a share for each of " + queryClasses + " table types");
            }
            for (int i = 0; i < queryClasses; i++) {
                double share = numberOrNaN(shares.get(i));
                if (!(share >= 0 && share <= 1)) {
                    throw unusable(
                            place(key) + "[" + i + "]", shares.get(i), "a share from 0 to 1");
                }
            }
        }
    }

    private static double numberOrNaN(JsonNode value) {
        return value.isNumber() ? value.doubleValue() : Double.NaN;
    }

    private static InvalidSettingsException unusable(
            String place, JsonNode value, String expected) {
        String found = value.isMissingNode() ? "is missing" : "is " + value;
        String shown =
                found.length() > LONGEST_VALUE_SHOWN
                        ? found.substring(0, LONGEST_VALUE_SHOWN) + "..."
                        : found;
        return new InvalidSettingsException(
                "settings." + place + " " + shown + ", expected " + expected);
    }
}
