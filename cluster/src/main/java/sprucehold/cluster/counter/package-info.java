/**
 * What each gatherer has sent, by whatever is counted, merged so that order, repeats and loss of
 * messages don't matter. The entry point is {@link sprucehold.cluster.counter.Counts}. Pure; it
 * must never serve as a bound, since it says less than is true for as long as news are on their
 * way.
 */
package sprucehold.cluster.counter;
