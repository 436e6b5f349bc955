/**
 * Scripted shard servers. {@link sprucehold.rig.server.ServerModel} is pure: parts in, answers out,
 * with a queue, cores, cold starts and faults; {@link sprucehold.rig.server.ServerHost} puts one on
 * sockets.
 */
package sprucehold.rig.server;
