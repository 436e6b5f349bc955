package sprucehold.port;

import java.util.List;

/** One gatherer's decisions. Instances share nothing; the same calls bring the same actions. */
public interface Gatherer {
    /**
     * Takes all that happened at one moment, in the order it happened, and returns what is to be
     * done at that moment, in order.
     *
     * @param nowMs the clock; it begins at no particular value and never goes back
     */
    List<Action> decide(double nowMs, List<Event> events);

    /** Starts a gatherer that holds nothing yet. */
    interface Factory {
        Gatherer start(long seed, Deployment deployment);
    }
}
