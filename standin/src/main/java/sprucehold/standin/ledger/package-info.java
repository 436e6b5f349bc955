/**
 * Ledger of a run: the observations that clients, shard servers and discovery each recorded on
 * their own. {@link sprucehold.standin.ledger.Seen} declares the types of observations, and {@link
 * sprucehold.standin.ledger.Ledger} collects them. The package contains no checks. All times are
 * measured by one clock.
 */
package sprucehold.standin.ledger;
