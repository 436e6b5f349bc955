package sprucehold.change.document;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Changes from one document to another and their greatest risk. Names in annotations are the keys
 * of the JSON form.
 *
 * @param changes the changes, the riskiest first
 * @param risk the greatest risk of all changes
 */
public record DocumentDifference(@JsonProperty("words") List<Change> changes, Risk risk) {
    /**
     * Degree to which a change may harm service. The names of the constants are written to JSON.
     */
    public enum Risk {
        /** The change does not affect queries. */
        NONE,
        /**
         * The change takes little or nothing from queries. For example, it loosens a limit or
         * tightens one slightly.
         */
        LOW,
        /**
         * The change takes capacity, time or quota from some queries, or changes the address of
         * discovery.
         */
        MIDDLE,
        /**
         * The change takes a large part of the capacity, time or quota from some queries, changes
         * which parts may run twice, or lets more attempts be sent to servers that are warming up.
         */
        HIGH
    }

    /**
     * One change.
     *
     * @param path path of the changed value in the document; list elements appear by name, not by
     *     index
     * @param description effect of the change, one sentence
     * @param risk degree to which the change may harm service
     */
    public record Change(String path, @JsonProperty("words") String description, Risk risk) {}

    /** Returns the changes from one document to another. */
    public static DocumentDifference between(
            ConfigurationDocument before, ConfigurationDocument after) {
        return new DocumentComparison(before, after).difference();
    }
}
