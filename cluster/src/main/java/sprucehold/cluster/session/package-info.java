/**
 * All that one gatherer sends the others and receives from them, put together from membership,
 * shared limits, counters and observations. The entry point is {@link
 * sprucehold.cluster.session.CoordinationSession}. Pure: its caller brings readings of two clocks
 * and messages, and carries messages away; it must never decide which server a part goes to.
 */
package sprucehold.cluster.session;
