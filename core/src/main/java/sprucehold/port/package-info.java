/**
 * The interface of the decisions: events that happened, actions that are wanted and why, and the
 * facts of a deployment. Types only; the entry point is {@link sprucehold.port.Gatherer}. It must
 * never decide anything.
 */
package sprucehold.port;
