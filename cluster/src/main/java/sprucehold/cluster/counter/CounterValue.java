package sprucehold.cluster.counter;

/**
 * How much one gatherer has counted of one key in one generation.
 *
 * @param gatherer its name
 * @param generation grows with each start under this name
 * @param key what is counted, such as a shard server
 * @param total units since the generation began; it only grows
 */
public record CounterValue(String gatherer, long generation, String key, long total) {}
