/**
 * The decision policy as plain calls for the network code. The entry point is {@link
 * sprucehold.coordinator.QueryCoordinator}: it is told observations and returns commands, and keeps
 * the open queries, attempts and endpoints to which the ids of the policy's events and commands
 * refer. It must never decide which server is asked, what is repeated or what is rejected.
 */
package sprucehold.coordinator;
