package sprucehold.cluster.simulation;

import java.util.Random;

/**
 * Delay, loss and duplication of messages between members of a simulated fleet.
 *
 * @param delayMs median delay in milliseconds; one message in a hundred takes twenty times as long
 * @param lossRate share of messages that are lost
 * @param duplicationRate share of messages that are delivered twice
 */
public record Network(double delayMs, double lossRate, double duplicationRate) {
    /** The delay within one installation, without loss or duplication. */
    public static final Network FAULTLESS = new Network(0.5, 0, 0);

    boolean isLost(Random random) {
        return random.nextDouble() < lossRate;
    }

    boolean isDuplicated(Random random) {
        return random.nextDouble() < duplicationRate;
    }

    /**
     * Draws a delay in milliseconds. The delays follow a log-normal distribution with a sigma of
     * 0.5, and one in a hundred is multiplied by 20.
     */
    double drawDelayMs(Random random) {
        double drawnMs = delayMs * Math.exp(0.5 * random.nextGaussian());
        return random.nextDouble() < 0.01 ? 20 * drawnMs : drawnMs;
    }
}
