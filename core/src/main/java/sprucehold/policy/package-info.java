/**
 * The decision module: {@link sprucehold.policy.Brain}, and nothing else. Events in, actions out;
 * it must never read a clock, a file or a socket, start a thread, or draw chance but from the seed
 * handed over.
 */
package sprucehold.policy;
