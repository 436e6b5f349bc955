package sprucehold.cluster.session;

import java.util.Map;
import sprucehold.cluster.quota.QuotaTerms;

/**
 * Settings of a session.
 *
 * @param limits terms of the shared limits, by the name of each
 * @param messagesPerSecond maximum number of messages that a gatherer sends per second, however
 *     many it receives; further messages are dropped, as the network may drop them anyway
 * @param rateHalfLifeMs age at which a rate received from another gatherer counts half, in
 *     milliseconds
 */
public record SessionSettings(
        Map<String, QuotaTerms> limits, double messagesPerSecond, double rateHalfLifeMs) {
    private static final double MIN_MESSAGES_PER_SECOND = 10;

    /**
     * @throws IllegalArgumentException if a number is out of range; the message states its name
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
