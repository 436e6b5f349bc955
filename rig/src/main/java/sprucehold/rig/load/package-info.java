/**
 * Clients of a run. {@link sprucehold.rig.load.Front} and {@link sprucehold.rig.load.Persistence}
 * decide whom a client asks and whether it asks again, and are pure; {@link
 * sprucehold.rig.load.Clients} asks, at the planned times whatever comes back.
 */
package sprucehold.rig.load;
