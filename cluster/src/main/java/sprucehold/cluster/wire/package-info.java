/**
 * Peer messages as bytes: Avro by the schema {@code letter-1.avsc}, in a frame with a version and a
 * checksum. The entry point is {@link sprucehold.cluster.wire.Codec}. Decoding must never return a
 * message that fails a check, and must never throw, whatever the bytes are.
 *
 * <pre>
 * datagram := 'S' 'G' version:u8 crc32c:u32 body      crc32c of version and body, most significant byte first
 * body     := Letter in Avro's binary encoding, by the schema of that version
 *           / text in UTF-8                          version 0: why the receiver's messages can't be read
 * stream   := length:u32 datagram, then the end    most significant byte first; messages longer than a datagram are sent by TCP
 * </pre>
 */
package sprucehold.cluster.wire;
