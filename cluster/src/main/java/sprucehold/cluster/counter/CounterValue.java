package sprucehold.cluster.counter;

/**
 * How much one life of a gatherer has counted of one thing.
 *
 * @param gatherer its name
 * @param generation grows with each start under this name
 * @param key what is counted, such as a shard server or a customer
 * @param total units since the life began; it only grows
 */
public record CounterValue(String gatherer, long generation, String key, long total) {}
