/**
 * The command line of a gatherer, one class a command; the entry point is {@link
 * sprucehold.command.Main}. Names of commands and options are those that operators and deploy files
 * use. Only wiring: what a command does is in the packages below.
 */
package sprucehold.command;
