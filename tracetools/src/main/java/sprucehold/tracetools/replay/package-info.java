/**
 * Replays and compares traces. {@link sprucehold.tracetools.replay.TraceReplay} runs a decision
 * policy on the events of a trace, and {@link sprucehold.tracetools.replay.TraceDiff} finds where
 * two traces begin to differ. The caller passes the factory of the decision policy.
 */
package sprucehold.tracetools.replay;
