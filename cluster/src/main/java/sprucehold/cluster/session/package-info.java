/**
 * All that one gatherer says to the others and hears from them, put together from membership,
 * shares, counts and evidence. The entry point is {@link sprucehold.cluster.session.Talk}. Pure:
 * who calls it brings readings of two clocks and letters, and carries letters away; it must never
 * decide which server a part goes to.
 */
package sprucehold.cluster.session;
