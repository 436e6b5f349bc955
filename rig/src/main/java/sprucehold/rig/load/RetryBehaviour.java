package sprucehold.rig.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.rig.script.Script;

/** Decides whether and when a throttled client sends its query again, under a new id. */
public final class RetryBehaviour {
    private final Script.Load load;
    private final UniformRandomProvider random;
    private int retries;

    /**
     * @param seed seed of the random part of the waits
     */
    public RetryBehaviour(Script.Load load, long seed) {
        this.load = load;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /**
     * Returns how long to wait before the query is sent again, in milliseconds; negative if it
     * isn't sent again.
     *
     * @param retryAfterMs the retry-after time that the gatherer sent, in milliseconds; 0 if it
     *     sent none
     */
    public double throttled(double retryAfterMs) {
        if (retries >= load.retries()) {
            return -1;
        }
        double backOffMs = load.backOffMs() * Math.pow(2, retries++);
        // Adds up to half of the wait at random, so that clients that were throttled together don't
        // send again together.
        return Math.max(retryAfterMs, backOffMs) * (1 + random.nextDouble() / 2);
    }

    /** Returns the id under which the query is sent again. */
    public String id(String first) {
        return first + "-" + retries;
    }
}
