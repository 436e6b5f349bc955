package sprucehold.port;

import java.util.Map;

/**
 * What a gatherer knows by others, where an installation lets its gatherers talk. Each value
 * replaces the one before it.
 *
 * @param gatherers how many are there as far as is known, itself included; 0 where nothing is known
 * @param room units of each shared bound that may be taken now, never negative; a bound that isn't
 *     named isn't shared, and what a gatherer may do alone holds
 * @param trouble by shard server: from 0, nothing speaks against it, to 1, what several others saw
 *     of it is failures alone. A server that isn't named has none
 */
public record Others(int gatherers, Map<Bound, Integer> room, Map<String, Double> trouble) {
    /** Nothing is known. */
    public static final Others NONE = new Others(0, Map.of(), Map.of());

    public Others {
        room = Map.copyOf(room);
        trouble = Map.copyOf(trouble);
    }
}
