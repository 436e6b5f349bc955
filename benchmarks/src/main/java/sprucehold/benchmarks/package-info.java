/** Benchmarks that the scripts in {@code bench/} run. Serving code must never depend on them. */
package sprucehold.benchmarks;
