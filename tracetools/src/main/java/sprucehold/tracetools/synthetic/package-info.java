/**
 * Generates the traces of synthetic days. {@link sprucehold.tracetools.synthetic.SyntheticDay}, the
 * entry point, runs the real query coordinator and a decision policy in simulated time, with
 * simulated clients, shard servers and discovery and with injected faults. The same plan yields the
 * same entries, so the package must never read a clock.
 */
package sprucehold.tracetools.synthetic;
