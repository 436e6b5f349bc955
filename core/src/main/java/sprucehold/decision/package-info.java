/**
 * Interface of the decision policy: events, commands with their reasons, and the properties of a
 * deployment that affect decisions. The package contains only types; the entry point is {@link
 * sprucehold.decision.DecisionPolicy}. It must never make a decision itself.
 */
package sprucehold.decision;
