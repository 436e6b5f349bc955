/**
 * Rollout of one change to many gatherers in waves: {@link sprucehold.change.rollout.Rollout} takes
 * the gatherers' answers and returns actions. Its whole state is a value that can be saved and
 * resumed from. The package is purely functional.
 */
package sprucehold.change.rollout;
