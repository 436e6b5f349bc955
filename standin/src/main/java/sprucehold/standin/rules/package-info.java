/**
 * The checker of the six rules: {@link sprucehold.standin.rules.RuleChecker} reads after a run what
 * clients, servers and discovery saw; one class checks each {@link sprucehold.standin.rules.Rule}.
 * It knows nothing of a gatherer's inside and must never be told by one.
 */
package sprucehold.standin.rules;
