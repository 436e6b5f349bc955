/**
 * What a trace holds, as values: {@link sprucehold.trace.event.Entry entries} of what passed a
 * policy's door, and the {@link sprucehold.trace.event.TraceHeader head} that says whose they are.
 * Types only: it must never read or write a file.
 */
package sprucehold.trace.event;
