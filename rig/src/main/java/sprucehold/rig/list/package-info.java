/**
 * Scripted discovery: one list of shard servers, and an agent for each gatherer that can send it
 * late, with errors or not at all. {@link sprucehold.rig.list.Agent} is pure; {@link
 * sprucehold.rig.list.AgentHost} serves an agent over HTTP.
 */
package sprucehold.rig.list;
