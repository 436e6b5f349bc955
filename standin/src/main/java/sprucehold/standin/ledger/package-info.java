/**
 * What clients, shard servers and discovery observed of a run, each for itself: {@link
 * sprucehold.standin.ledger.Seen}. Types and a list of them; nothing here judges. All times are of
 * one clock.
 */
package sprucehold.standin.ledger;
