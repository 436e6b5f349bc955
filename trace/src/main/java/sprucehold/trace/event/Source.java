package sprucehold.trace.event;

import com.fasterxml.jackson.annotation.JsonProperty;
import sprucehold.decision.Deployment;

/**
 * One run of a gatherer process, from its start to its end.
 *
 * @param gatherer the gatherer's name
 * @param build the version of the gatherer
 * @param seed the seed given to the policy
 * @param startedMs the time by the gatherer's own clock when recording began, Unix time in
 *     milliseconds
 * @param deployment the deployment given to the policy when it started
 * @param clock the relation of the gatherer's clock to the reference clock
 */
public record Source(
        String gatherer,
        String build,
        long seed,
        double startedMs,
        @JsonProperty("facts") Deployment deployment,
        ClockFit clock) {
    /** Returns an identifier that is equal in all files recorded by the same run of a gatherer. */
    public String id() {
        return gatherer
                + "@"
                + Long.toHexString(seed)
                + "@"
                + Long.toHexString(Double.doubleToLongBits(startedMs));
    }

    /** Returns a copy of the source with another clock fit. */
    public Source withClock(ClockFit fit) {
        return new Source(gatherer, build, seed, startedMs, deployment, fit);
    }
}
