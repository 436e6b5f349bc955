/**
 * The command line of people, {@code bin/sprucehold}: every sub-command, and only the wiring of
 * them. The entry point is {@link sprucehold.cli.Sprucehold}. It must never hold a decision or a
 * format.
 */
package sprucehold.cli;
