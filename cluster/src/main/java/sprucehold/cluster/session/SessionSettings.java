package sprucehold.cluster.session;

import java.util.Map;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * What a session is told at its start.
 *
 * @param limits shared limits, by the name of each
 * @param messagesPerSecond so many messages leave a gatherer in a second at the most, whatever
 *     comes in; what is beyond is dropped, as the network may do anyway
 * @param rateHalfLifeMs how long until a rate heard from another counts half, in milliseconds
 */
public record SessionSettings(
        Map<String, QuotaTerms> limits, double messagesPerSecond, double rateHalfLifeMs) {
    private static final double MIN_MESSAGES_PER_SECOND = 10;

    /**
     * @throws IllegalArgumentException if a figure is outside its range, with its name
     */
    public SessionSettings {
        if (!(messagesPerSecond >= MIN_MESSAGES_PER_SECOND) || !(rateHalfLifeMs > 0)) {
            throw new IllegalArgumentException(
                    "messagesPerSecond and rateHalfLifeMs: at least 10 and more than 0 were"
                            + " expected, not "
                            + messagesPerSecond
                            + " and "
                            + rateHalfLifeMs);
        }
        limits = Map.copyOf(limits);
    }
}
