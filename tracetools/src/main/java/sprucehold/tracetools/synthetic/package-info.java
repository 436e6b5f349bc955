/**
 * Synthetic days: the real module and picker, driven in simulated time by clients, shard servers
 * and discovery of the project's own, failures included. {@link
 * sprucehold.tracetools.synthetic.SyntheticDay} is the entry point. The same plan brings the same
 * entries; it must never read a clock.
 */
package sprucehold.tracetools.synthetic;
