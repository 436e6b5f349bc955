/**
 * Command line of a gatherer, with one class for each command; the entry point is {@link
 * sprucehold.command.Main}. Operators and deploy files depend on the names of commands and options.
 * The classes only parse options and create objects; the work of the commands is done in other
 * packages.
 */
package sprucehold.command;
