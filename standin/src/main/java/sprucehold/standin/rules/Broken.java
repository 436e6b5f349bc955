package sprucehold.standin.rules;

/**
 * One breach of a rule.
 *
 * @param atMs when, by the clock of the run
 * @param what by whom and how, in words
 */
public record Broken(Rule rule, double atMs, String what) {}
