/**
 * Emulates the network between processes: delays, throttles, cuts and resets connections and
 * datagrams as the faults on a link require. {@link sprucehold.rig.link.Shaper} decides when a
 * message may pass, and is pure. {@link sprucehold.rig.link.ShapedSocket} applies its decisions to
 * one end of a connection, {@link sprucehold.rig.link.TcpRelay} to a connection between two
 * processes. {@link sprucehold.rig.link.DatagramRelay} does the same for datagrams.
 */
package sprucehold.rig.link;
