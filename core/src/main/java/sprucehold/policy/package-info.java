/**
 * The decisions of a gatherer, one class a mechanism. {@link sprucehold.policy.QueryScheduler} is
 * the one entry point: events in, commands out. The package must never read a clock, a file or a
 * socket, start a thread, or draw random numbers but from the seed it is given. Times are in
 * milliseconds on the clock of the calls.
 */
package sprucehold.policy;
