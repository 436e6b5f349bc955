/**
 * Value types for the content of a trace: {@link sprucehold.trace.event.Entry entries} for the
 * calls of a policy, and the {@link sprucehold.trace.event.TraceHeader header} that describes their
 * sources. The package must never read or write a file.
 */
package sprucehold.trace.event;
