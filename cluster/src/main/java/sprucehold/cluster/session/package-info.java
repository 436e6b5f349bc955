/**
 * All messages between one gatherer and the others, combined from membership, shared limits,
 * counters and observations. The entry point is {@link
 * sprucehold.cluster.session.CoordinationSession}. The package is pure: its caller passes in
 * readings of two clocks and received messages, and sends the returned messages. It must never
 * decide which server a part is sent to.
 */
package sprucehold.cluster.session;
