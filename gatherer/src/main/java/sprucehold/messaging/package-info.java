/**
 * Messages between gatherers on the wire: UDP for what fits into a datagram, TCP for what doesn't,
 * limits on what comes and goes. The entry point is {@link sprucehold.messaging.PeerMessaging}. It
 * must never decide what a message means, and never fail on what it is sent.
 */
package sprucehold.messaging;
