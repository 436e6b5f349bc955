package sprucehold.cluster.simulation;

import java.util.Random;

/**
 * What becomes of a message between two members of a simulated fleet.
 *
 * @param wayMs median of the time on the way; one in a hundred takes twenty times as long
 * @param lose share of messages lost
 * @param twice share of messages that come twice
 */
public record Network(double wayMs, double lose, double twice) {
    /** A way within one installation, and no faults. */
    public static final Network SOUND = new Network(0.5, 0, 0);

    boolean loses(Random random) {
        return random.nextDouble() < lose;
    }

    boolean doubles(Random random) {
        return random.nextDouble() < twice;
    }

    /** A time on the way, in milliseconds: log-normal with half a spread, and a tail. */
    double way(Random random) {
        double way = wayMs * Math.exp(0.5 * random.nextGaussian());
        return random.nextDouble() < 0.01 ? 20 * way : way;
    }
}
