/**
 * One change brought to many gatherers in waves: {@link sprucehold.change.rollout.Rollout}, answers
 * in, actions out. Its whole state is a value that is saved and resumed from. Pure.
 */
package sprucehold.change.rollout;
