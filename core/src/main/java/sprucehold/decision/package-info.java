/**
 * The interface of the decisions: events that happened, commands that are wanted and why, and what
 * has to be known of a deployment. Types only; the entry point is {@link
 * sprucehold.decision.DecisionPolicy}. It must never decide anything.
 */
package sprucehold.decision;
