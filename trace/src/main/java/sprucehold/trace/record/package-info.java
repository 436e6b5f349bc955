/**
 * Records what passes the module's door while a gatherer serves. {@link
 * sprucehold.trace.record.Recorder} is the entry point; {@link sprucehold.trace.record.Thinning}
 * and {@link sprucehold.trace.record.FileDuty} decide and do no I/O. It must never block or fail
 * the event loop: what can't be written is a stated gap.
 */
package sprucehold.trace.record;
