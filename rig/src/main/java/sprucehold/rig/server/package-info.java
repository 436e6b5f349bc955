/**
 * Scripted shard servers. {@link sprucehold.rig.server.ServerModel} is pure: it receives parts and
 * returns answers, with a queue, cores, cold starts and faults. {@link
 * sprucehold.rig.server.ServerHost} runs a model on sockets.
 */
package sprucehold.rig.server;
