/**
 * What each gatherer has sent, by key, as grow-only counters: order, repeats and loss of messages
 * don't matter. The entry point is {@link sprucehold.cluster.counter.CounterTable}. Pure; it must
 * never serve as a limit, since it says less than is true while messages are on their way.
 */
package sprucehold.cluster.counter;
