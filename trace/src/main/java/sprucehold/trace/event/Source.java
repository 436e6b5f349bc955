package sprucehold.trace.event;

import com.fasterxml.jackson.annotation.JsonProperty;
import sprucehold.decision.Deployment;

/**
 * One gatherer from one start to its end.
 *
 * @param gatherer its name
 * @param build the version that decided
 * @param seed the seed handed to the policy
 * @param startedMs its own clock when recording began, Unix milliseconds
 * @param deployment what the policy was told of the deployment
 */
public record Source(
        String gatherer,
        String build,
        long seed,
        double startedMs,
        @JsonProperty("facts") Deployment deployment,
        ClockFit clock) {
    /** Tells sources apart: equal for all files of one gatherer's one start. */
    public String id() {
        return gatherer
                + "@"
                + Long.toHexString(seed)
                + "@"
                + Long.toHexString(Double.doubleToLongBits(startedMs));
    }

    /** The same with another fit of its clock. */
    public Source withClock(ClockFit fit) {
        return new Source(gatherer, build, seed, startedMs, deployment, fit);
    }
}
