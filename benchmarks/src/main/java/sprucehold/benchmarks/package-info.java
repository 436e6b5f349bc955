/** Benchmarks, run by the commands in {@code bench/}. They must never be part of what serves. */
package sprucehold.benchmarks;
