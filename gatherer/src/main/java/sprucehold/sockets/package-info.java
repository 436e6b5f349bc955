/**
 * What sockets need beyond what Vert.x does for them: reading what lies unread on one connection at
 * a chosen moment, and a listener that goes on after a failed accept. Entry points: {@link
 * sprucehold.sockets.UnreadInput} and {@link sprucehold.sockets.AcceptingTransport}. Knows nothing
 * of queries, and must never wait.
 */
package sprucehold.sockets;
