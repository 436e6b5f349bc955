package sprucehold.rig.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.rig.script.Script;

/** Whether and when a client that was throttled asks again, under a new id. */
public final class Persistence {
    private final Script.Load load;
    private final UniformRandomProvider chance;
    private int tried;

    /**
     * @param seed spreads the waits
     */
    public Persistence(Script.Load load, long seed) {
        this.load = load;
        this.chance = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /**
     * How long to wait before asking again, in milliseconds; negative for never.
     *
     * @param comeBackMs what the gatherer said, 0 if nothing
     */
    public double throttled(double comeBackMs) {
        if (tried >= load.retries()) {
            return -1;
        }
        double own = load.backOffMs() * Math.pow(2, tried++);
        // Half of it by chance, so that clients turned away together don't come back together.
        return Math.max(comeBackMs, own) * (1 + chance.nextDouble() / 2);
    }

    /** The id of the scan by which it asks again. */
    public String id(String first) {
        return first + "-" + tried;
    }
}
