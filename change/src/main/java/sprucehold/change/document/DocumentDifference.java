package sprucehold.change.document;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What a change from one document to another means, one sentence each, and how risky it is. Names
 * in annotations are the keys of its JSON.
 *
 * @param changes the changes, the riskiest first
 * @param risk the greatest risk of all changes
 */
public record DocumentDifference(@JsonProperty("words") List<Change> changes, Risk risk) {
    /** How much a change may harm service. The names are those of its JSON. */
    public enum Risk {
        /** Nothing that is served depends on it. */
        NONE,
        /** It loosens a limit, or tightens one by little. */
        LOW,
        /** It takes capacity, time or quota from some queries. */
        MIDDLE,
        /** It takes much of them, or changes which parts may run twice. */
        HIGH
    }

    /**
     * One change.
     *
     * @param path the place in the document that changes; list elements are named, not numbered
     * @param description what it means, one sentence
     * @param risk how much it may harm
     */
    public record Change(String path, @JsonProperty("words") String description, Risk risk) {}

    /** Compares two documents. */
    public static DocumentDifference between(
            ConfigurationDocument before, ConfigurationDocument after) {
        return new DocumentComparison(before, after).difference();
    }
}
