/**
 * Transport of messages between gatherers: UDP for messages that fit into a datagram, TCP for
 * longer ones, with rate limits in both directions. The entry point is {@link
 * sprucehold.messaging.PeerMessaging}. The package must never interpret a message, and must never
 * fail because of bytes that it receives.
 */
package sprucehold.messaging;
