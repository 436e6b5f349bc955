/**
 * The command line {@code bin/sprucehold}. Its classes only connect the sub-commands to the code
 * that does the work. The entry point is {@link sprucehold.cli.Sprucehold}. This package must never
 * contain decisions of the gatherer or the definition of a file format.
 */
package sprucehold.cli;
