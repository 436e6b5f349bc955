/**
 * Records the calls of the decision policy while a gatherer serves. {@link
 * sprucehold.trace.record.Recorder} is the entry point; {@link
 * sprucehold.trace.record.QuerySampler} and {@link sprucehold.trace.record.RotationPolicy} make the
 * decisions and do no I/O. The package must never block the event loop or make it fail: calls that
 * can't be written are recorded as a gap.
 */
package sprucehold.trace.record;
