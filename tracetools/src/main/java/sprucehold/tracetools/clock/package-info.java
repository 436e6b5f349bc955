/**
 * Estimates the offsets between gatherers' clocks from the endpoint updates that several gatherers
 * received. {@link sprucehold.tracetools.clock.ClockEstimate} is the entry point. The package is
 * pure: it computes the fits from the entries only.
 */
package sprucehold.tracetools.clock;
