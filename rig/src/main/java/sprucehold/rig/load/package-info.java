/**
 * Clients of a run. {@link sprucehold.rig.load.SiteBalancer} selects the gatherer for a client, and
 * {@link sprucehold.rig.load.RetryBehaviour} decides whether the client sends its query again; both
 * are pure. {@link sprucehold.rig.load.Clients} sends the queries at the planned times, whatever
 * the answers are.
 */
package sprucehold.rig.load;
