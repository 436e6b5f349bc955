/**
 * Interface of the network code to the decision policy. The entry point is {@link
 * sprucehold.coordinator.QueryCoordinator}, which receives observations and returns commands. The
 * package keeps the open queries, attempts and endpoints to which the ids in the policy's events
 * and commands refer. It must never decide which server a part is sent to, which parts are retried
 * or which queries are rejected.
 */
package sprucehold.coordinator;
