package sprucehold.standin.rules;

/**
 * One violation of a rule.
 *
 * @param rule the rule
 * @param atMs when, by the clock of the run, in milliseconds
 * @param description by whom and how, one sentence
 */
public record Violation(Rule rule, double atMs, String description) {}
