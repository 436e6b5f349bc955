/**
 * The watch on the list of shard servers; the entry point is {@link sprucehold.discovery.Watch}. It
 * must never hold news back.
 */
package sprucehold.discovery;
