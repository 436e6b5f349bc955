package sprucehold.standin.rules;

/**
 * One violation of a rule.
 *
 * @param rule the rule
 * @param atMs time of the violation by the clock of the run, in milliseconds
 * @param description which query, server or gatherer violated the rule and how, one sentence
 */
public record Violation(Rule rule, double atMs, String description) {}
