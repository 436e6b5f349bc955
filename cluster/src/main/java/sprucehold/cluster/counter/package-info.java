/**
 * Amounts that each gatherer has sent, by key, as grow-only counters: the order, repetition and
 * loss of messages don't matter. The entry point is {@link
 * sprucehold.cluster.counter.CounterTable}. The package is pure. A counter must never serve as a
 * limit, since it is lower than the true sum while messages are under way.
 */
package sprucehold.cluster.counter;
