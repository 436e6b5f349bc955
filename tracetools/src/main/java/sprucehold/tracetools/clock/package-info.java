/**
 * How gatherers' clocks stand to each other, judged by what several of them were told alike. {@link
 * sprucehold.tracetools.clock.ClockEstimate} is the entry point. Pure: entries in, fits out.
 */
package sprucehold.tracetools.clock;
