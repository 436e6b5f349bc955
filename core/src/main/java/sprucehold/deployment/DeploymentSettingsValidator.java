package sprucehold.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;

/**
 * Finds what the settings of a deployment lack or contradict before anything is served by them.
 * Only what nobody can serve without is asked for: fields that have a sound default may be absent,
 * but not be of another kind.
 */
final class DeploymentSettingsValidator {
    private DeploymentSettingsValidator() {}

    /** Throws at the first field that can't be used, naming it and what was expected. */
    static void check(JsonNode settings) throws InvalidSettingsException {
        JsonNode types = settings.path("classes");
        if (!types.isArray() || types.isEmpty()) {
            throw expected("classes", types, "a list with at least one table type");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < types.size(); i++) {
            tableType(types.get(i), "classes[" + i + "].", names);
        }
        names.clear();
        JsonNode customers = settings.path("tenants");
        if (!customers.isMissingNode() && !customers.isArray()) {
            throw expected("tenants", customers, "a list");
        }
        for (int i = 0; i < customers.size(); i++) {
            name(customers.get(i), "tenants[" + i + "].", names);
            number(customers.get(i), "tenants[" + i + "].", "allowancePerS", 0, false, true);
        }
        JsonNode family = settings.path("familyInfo");
        whole(family, "familyInfo.", "ranges", true);
        whole(family, "familyInfo.", "sets", true);
        whole(family, "familyInfo.", "width", false);
        whole(family, "familyInfo.", "bundleMax", false);
        shares(family, "completeFrom", types.size());
        shares(family, "leastShare", types.size());
        JsonNode limits = settings.path("limits");
        number(limits, "limits.", "dialTimeoutMs", 0, true, true);
        number(limits, "limits.", "idleCloseMs", 0, true, true);
        whole(limits, "limits.", "streamsPerConn", false);
        whole(limits, "limits.", "sendCap", false);
        whole(limits, "limits.", "maxOpen", false);
        JsonNode rules = settings.path("safety");
        for (String field :
                new String[] {
                    "coldFrom",
                    "coldMs",
                    "fallMultiple",
                    "overloadForMs",
                    "mustAskInMs",
                    "budgetFree",
                    "extraRatio",
                    "countedOverMs"
                }) {
            number(rules, "safety.", field, 0, false, false);
        }
        number(settings, "", "quantumMs", 0, false, false);
        whole(settings, "", "balancers", false);
    }

    private static void tableType(JsonNode type, String at, Set<String> names)
            throws InvalidSettingsException {
        name(type, at, names);
        String semantics = type.path("semantics").asText();
        if (!Set.of("retryable", "dedup", "fragile").contains(semantics)) {
            throw expected(at + "semantics", type.path("semantics"), "retryable, dedup or fragile");
        }
        number(type, at, "aimMs", 0, true, true);
        number(type, at, "giveUpMs", 0, true, true);
        number(type, at, "worth", 0, false, false);
        number(type, at, "lateValue", 0, false, false);
        number(type, at, "windowMs", 0, false, semantics.equals("dedup"));
    }

    private static void name(JsonNode node, String at, Set<String> names)
            throws InvalidSettingsException {
        JsonNode name = node.path("name");
        if (!name.isTextual() || name.asText().isEmpty()) {
            throw expected(at + "name", name, "a name");
        } else if (!names.add(name.asText())) {
            throw expected(at + "name", name, "another name than those before it");
        }
    }

    private static void number(
            JsonNode node, String at, String field, double least, boolean above, boolean needed)
            throws InvalidSettingsException {
        JsonNode value = node.path(field);
        if (value.isMissingNode() && !needed) {
            return;
        }
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(above ? number > least : number >= least)) {
            throw expected(
                    at + field,
                    value,
                    "a number " + (above ? "above " : "of at least ") + (long) least);
        }
    }

    private static void whole(JsonNode node, String at, String field, boolean needed)
            throws InvalidSettingsException {
        JsonNode value = node.path(field);
        if (value.isMissingNode() && !needed) {
            return;
        }
        if (!value.isIntegralNumber() || value.longValue() < 1) {
            throw expected(at + field, value, "a whole number of at least 1");
        }
    }

    private static void shares(JsonNode family, String field, int types)
            throws InvalidSettingsException {
        JsonNode shares = family.path(field);
        if (shares.isMissingNode()) {
            return;
        }
        if (!shares.isArray() || shares.size() != types) {
            throw expected(
                    "familyInfo." + field, shares, "a share for each of " + types + " table types");
        }
        for (int i = 0; i < types; i++) {
            double share = shares.get(i).isNumber() ? shares.get(i).doubleValue() : Double.NaN;
            if (!(share >= 0 && share <= 1)) {
                throw expected(
                        "familyInfo." + field + "[" + i + "]",
                        shares.get(i),
                        "a share from 0 to 1");
            }
        }
    }

    private static InvalidSettingsException expected(String place, JsonNode value, String what) {
        String is = value.isMissingNode() ? "is missing" : "is " + value;
        return new InvalidSettingsException(
                "settings."
                        + place
                        + " "
                        + (is.length() > 80 ? is.substring(0, 80) + "..." : is)
                        + ", expected "
                        + what);
    }
}
