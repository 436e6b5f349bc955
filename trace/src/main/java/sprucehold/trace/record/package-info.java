/**
 * Records what passes the policy's door while a gatherer serves. {@link
 * sprucehold.trace.record.Recorder} is the entry point; {@link
 * sprucehold.trace.record.QuerySampler} and {@link sprucehold.trace.record.RotationPolicy} decide
 * and do no I/O. It must never block or fail the event loop: what can't be written is a stated gap.
 */
package sprucehold.trace.record;
