/**
 * Scripted discovery: one list and an agent for each gatherer that tells it late, wrongly or not at
 * all. {@link sprucehold.rig.list.Agent} is pure; {@link sprucehold.rig.list.AgentHost} puts one on
 * a socket.
 */
package sprucehold.rig.list;
