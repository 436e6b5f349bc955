/**
 * Decides a trace again: {@link sprucehold.tracetools.replay.TraceReplay}; and tells where two
 * traces part: {@link sprucehold.tracetools.replay.TraceDiff}. The module comes from outside as a
 * factory.
 */
package sprucehold.tracetools.replay;
