/**
 * What a trace holds, as values: {@link sprucehold.trace.event.Entry entries} of what passed a
 * module's door, and the {@link sprucehold.trace.event.Head head} that says whose they are. Types
 * only: it must never read or write a file.
 */
package sprucehold.trace.event;
