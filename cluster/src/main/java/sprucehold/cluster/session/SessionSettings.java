package sprucehold.cluster.session;

import java.util.Map;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * What is agreed before anybody talks.
 *
 * @param bounds what is shared, by the name of each bound
 * @param lettersPerS so many letters leave a gatherer in a second at the most, whatever comes in;
 *     what is beyond is dropped, as the network may do anyway
 * @param countHalfMs how long until a rate heard from another counts half, in milliseconds
 */
public record SessionSettings(
        Map<String, QuotaTerms> bounds, double lettersPerS, double countHalfMs) {
    /**
     * @throws IllegalArgumentException if a figure is outside its range, with its name
     */
    public SessionSettings {
        if (!(lettersPerS >= 10) || !(countHalfMs > 0)) {
            throw new IllegalArgumentException(
                    "lettersPerS and countHalfMs: at least 10 and more than 0 were expected, not "
                            + lettersPerS
                            + " and "
                            + countHalfMs);
        }
        bounds = Map.copyOf(bounds);
    }
}
