/**
 * The decisions in blocking style, and the books between ids and objects; the entry point is {@link
 * sprucehold.coordinator.Picker}. It must never decide which server, what to repeat or what to turn
 * away.
 */
package sprucehold.coordinator;
