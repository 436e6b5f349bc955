/**
 * Clients of a run. {@link sprucehold.rig.load.Front} selects the gatherer for a client, and {@link
 * sprucehold.rig.load.Persistence} decides whether the client sends its query again; both are pure.
 * {@link sprucehold.rig.load.Clients} sends the queries at the planned times, whatever the answers
 * are.
 */
package sprucehold.rig.load;
