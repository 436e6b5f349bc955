/**
 * The one checker of the six rules: {@link sprucehold.standin.rules.RuleChecker} reads what
 * clients, servers and discovery saw after a run. It knows nothing of a gatherer's inside and must
 * never be told by one.
 */
package sprucehold.standin.rules;
