/**
 * Wires one gatherer: carries what happens outside to the picker and its orders to the network,
 * starts and ends the process. The entry point is {@link sprucehold.node.Service}. It must never
 * decide what the module decides.
 */
package sprucehold.node;
