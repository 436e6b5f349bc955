/**
 * One change over many gatherers, in waves: {@link sprucehold.change.rollout.Rollout}, events in,
 * actions out, its whole state a value that can be kept and taken up again. Pure.
 */
package sprucehold.change.rollout;
