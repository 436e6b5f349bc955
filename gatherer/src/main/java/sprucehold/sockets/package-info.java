/**
 * Socket functions that Vert.x doesn't provide: reading all unread input of one connection on
 * demand, checking whether all output was sent, and a listening channel that retries soon after a
 * failed accept. Entry points: {@link sprucehold.sockets.UnreadInput} and {@link
 * sprucehold.sockets.RetryingAcceptTransport}. This package has no dependency on queries, and must
 * never block.
 */
package sprucehold.sockets;
