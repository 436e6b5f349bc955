/**
 * What lies between processes: bytes held back, spread, cut and reset as the faults on a link say.
 * {@link sprucehold.rig.link.Shaper} decides when what passes, and is pure; {@link
 * sprucehold.rig.link.ShapedSocket} carries it out on one end of a connection, {@link
 * sprucehold.rig.link.TcpRelay} and {@link sprucehold.rig.link.DatagramRelay} between two.
 */
package sprucehold.rig.link;
