package sprucehold.cluster.counter;

/**
 * The total that one gatherer has counted of one key in one generation.
 *
 * @param gatherer name of the gatherer
 * @param generation increases with each start under this name
 * @param key the object counted for, such as a shard server
 * @param total units since the generation began; never decreases
 */
public record CounterValue(String gatherer, long generation, String key, long total) {}
