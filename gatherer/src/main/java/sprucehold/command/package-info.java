/**
 * The commands of a gatherer, in its lean jar; the entry point is {@link sprucehold.command.Main}.
 * Only wiring.
 */
package sprucehold.command;
