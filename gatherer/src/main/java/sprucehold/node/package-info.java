/**
 * One gatherer and its process. The package passes the observations of the network code to the
 * query coordinator, executes the coordinator's commands, runs the warm-up, and drains and shuts
 * down the gatherer. The entry point is {@link sprucehold.node.Service}; {@link
 * sprucehold.node.GathererNode} wires one gatherer. Decisions that belong to the decision policy
 * must not be made here.
 */
package sprucehold.node;
