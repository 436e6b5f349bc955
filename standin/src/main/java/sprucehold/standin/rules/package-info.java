/**
 * Checker of the six rules: after a run, {@link sprucehold.standin.rules.RuleChecker} processes the
 * observations of clients, shard servers and discovery. Each {@link sprucehold.standin.rules.Rule}
 * is checked by one class. The checks must depend neither on the internal state of a gatherer nor
 * on data that a gatherer reports about itself.
 */
package sprucehold.standin.rules;
