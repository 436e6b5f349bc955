/**
 * The adapter between the bench's wire and the interface of the decisions; the entry point is
 * {@link sprucehold.drill.Drill}. It must never decide anything.
 */
package sprucehold.drill;
