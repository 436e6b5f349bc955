/**
 * One gatherer and the process around it: takes what the network code observes to the query
 * coordinator, carries out its commands, warms up, drains and ends. The entry point is {@link
 * sprucehold.node.Service}; {@link sprucehold.node.GathererNode} wires one gatherer. It must never
 * decide what the decision policy decides.
 */
package sprucehold.node;
