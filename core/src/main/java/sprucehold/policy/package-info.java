/**
 * Decision logic of a gatherer, with one class per mechanism. {@link
 * sprucehold.policy.QueryScheduler} is the only entry point: it receives events and returns
 * commands. The package must never read a clock, a file or a socket, or start a thread. Random
 * numbers may only be drawn from the seed that is passed in. Times are in milliseconds on the clock
 * whose current time is passed with each call.
 */
package sprucehold.policy;
