package sprucehold.cluster.allowance;

import java.util.List;
import java.util.Set;
import sprucehold.decision.SharedLimit;

/**
 * What an installation states of the bounds that its gatherers share.
 *
 * @param self this gatherer's name
 * @param fleet all names, this one's included: the same at every gatherer, since from it each has
 *     its home
 * @param shared the kinds that are shared
 * @param further dispatches beyond each part's first that the whole fleet may make in a window,
 *     where these are shared
 * @param furtherWindowMs that window, in milliseconds
 * @param patienceMs how long after it was decided a dispatch may still be written: a dial, and a
 *     little
 * @param drift how far any clock's rate may be off, as a share of it
 * @param clocksOffMs how far any two wall clocks may be apart, in milliseconds
 */
public record AllowanceSettings(
        String self,
        List<String> fleet,
        Set<SharedLimit.Kind> shared,
        int further,
        double furtherWindowMs,
        double patienceMs,
        double drift,
        double clocksOffMs) {
    /**
     * @throws IllegalArgumentException if this gatherer isn't one of the fleet, or a name stands
     *     twice
     */
    public AllowanceSettings {
        fleet = fleet.stream().sorted().toList();
        shared = Set.copyOf(shared);
        if (!fleet.contains(self)) {
            throw new IllegalArgumentException(
                    "fleet: " + self + " was expected among " + fleet.size() + " names");
        }
        if (fleet.stream().distinct().count() < fleet.size()) {
            throw new IllegalArgumentException("fleet: each name once was expected");
        }
    }

    /**
     * This gatherer's part of so many units. The parts of all add up to just so many, and what
     * can't be divided evenly goes to other gatherers for each bound, so that none is always short.
     *
     * @param bound its name, the same at every gatherer
     */
    int home(String bound, int units) {
        long size = fleet.size();
        long place = Math.floorMod(fleet.indexOf(self) + (long) bound.hashCode(), size);
        return (int) ((place + 1) * units / size - place * units / size);
    }
}
