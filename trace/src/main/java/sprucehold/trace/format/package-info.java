/**
 * Reads, writes, verifies and repairs trace files. {@link sprucehold.trace.format.TraceWriter} and
 * {@link sprucehold.trace.format.TraceReader} are the entry points. The package must never trust a
 * length, an offset or a number read from a file: each is checked against its bound before memory
 * is allocated for it or an offset is followed.
 *
 * <h2>Grammar, version 1.1</h2>
 *
 * <p>Fixed numbers are little-endian: {@code u16}, {@code u32}, {@code u64}, {@code f64} (IEEE
 * 754). {@code v} is an unsigned and {@code z} a zigzag base-128 varint as in protobuf. {@code str}
 * is a length in bytes as {@code v}, followed by the text in UTF-8. Checksums are CRC-32C.
 *
 * <pre>
 * file      = header *( block / index ) directory footer
 * header    = magic major minor length json crc
 *   magic     = 89 53 50 52 54 52 43 0A            ; reveals damage by text tools and line-end conversion at once
 *   major     = u16                                ; 1; a reader refuses greater versions
 *   minor     = u16                                ; 1; greater versions only add record kinds, and fields at the ends of records
 *   length    = u32                                ; length of json in bytes, at most 16 MiB
 *   json      = the header: sources with seeds and deployments, how the file was sampled, cut or anonymised
 *   crc       = u32                                ; of all preceding bytes of the file
 * block     = frame of kind 1; contains entries, is decoded without any other block
 * index     = frame of kind 2; lists the blocks since the previous index
 * directory = frame of kind 3; positions of the indexes
 * frame     = marker kind method zero rawlen storedlen entries records earliest latest crc free stored
 *   marker    = 53 42 4C 4B
 *   kind      = one byte; kinds other than 1 to 3 are skipped
 *   method    = one byte: 0 stored uncompressed, 1 deflate (RFC 1951)
 *   zero      = u16 0
 *   rawlen    = u32                                ; length after inflating in bytes, at most 8 MiB
 *   storedlen = u32                                ; length of stored in bytes, at most 8 MiB + 64 KiB
 *   entries   = u32                                ; number of policy calls and gaps in the frame
 *   records   = u32                                ; number of events, commands and gaps in the frame
 *   earliest  = f64                                ; least time of the entries, NaN if there are none
 *   latest    = f64                                ; greatest time of the entries, NaN if there are none
 *   crc       = u32                                ; of the whole frame except crc itself
 *   free      = u32 0
 * footer    = 46 4F 4F 54 dirat filelen records crc magic
 *   dirat     = u64                                ; position of the directory
 *   filelen   = u64                                ; length of the file in bytes
 *   records   = u64                                ; number of events, commands and gaps in the file
 *   crc       = u32                                ; of the preceding bytes of the footer
 *
 * A block's raw bytes are a sequence of records:
 * record    = kind length body                     ; kind v, length v of body in bytes; unknown kinds are skipped, and so
 *                                                  ; are the bytes of a body after the last known field
 *   1  policy call             source:v seq:z time:z flags:v total:v  ; seq and time are differences from the
 *                              ; previous entry of the block, for time the difference of the f64 bits;
 *                              ; flags: 1 policy failed, 2 some items omitted
 *   2  gap                     source:v seq:z time:z calls:v to:f64
 *   items of the preceding policy call; if some are omitted, each body begins with the item's index:v
 *   10 query received          query:name number:v class:v tenant:v left:num *1class *1tenant
 *                              ; class is an index into the header's deployment; tenant is an index + 1, 0 for
 *                              ; none. A class or tenant added or changed later has the index after the last
 *                              ; one and follows at the end of the record, as JSON in a str.
 *   11 part received           part:name query-number:v shard:z weight:num
 *   12 attempt ended           part:name number:v outcome:v duration:num load
 *   13 client disconnected     query:name
 *   14 endpoints updated       complete:v n:v n*( server:name replica-group:z zone:name started:num state:v )
 *   15 endpoints unavailable
 *   16 health check ended      server:name outcome:v duration:num load
 *   17 wake-up
 *   18 deployment changed      str                                   ; the deployment as JSON
 *   19 cluster view changed    gatherers:v n:v n*( limit units:v ) m:v m*( server:name failure-score:num )
 *                              ; since 1.1
 *   30 send attempt            part:name server:name timeout:num reason:v position:v n:v n*( server:name cause:v )
 *   31 cancel attempt          part:name number:v reason:v
 *   32 answer query            query:name complete:v reason:v
 *   33 reject query            query:name retry-after:num reason:v
 *   34 fail query              query:name reason:v
 *   35 schedule wake-up        delay:num
 *   36 check health            server:name
 *   37 subscribe to endpoints  reason:v
 *   38 log message             str
 *   39 consume allowance       limit units:v                         ; since 1.1
 *   outcome, state, reason, cause and the kind of a limit are the stored numbers of
 *   {@link sprucehold.decision.StoredEnum}
 *   limit     = kind:v subject:name
 *   load      = 0 / 1 held:num queued:num busy:num
 *   num       = v                                   ; the bits of an f64 in reversed byte order, so that round numbers are short
 *   name      = 0 str / 1 ref:v str / n:v           ; new name / new name, the ref-th name followed by str /
 *                                                   ; the (n - 2)th name. Names are numbered from 0 in the
 *                                                   ; order of their first use in the block
 *
 * An index's raw bytes:
 * index     = n:v n*( at:v length:v entries:v records:v earliest:f64 latest:f64 )  ; at is the distance from the end of the previous block
 *             m:v m*( hash:u64 ) m*( block:u16 )    ; queries by ascending unsigned hash, then block; blocks numbered from 0 in the index
 *             s:v s*( server:str k:v k*( block:v ) )
 *   hash      = the first 8 bytes of SHA-256 of the query's id
 * A directory's raw bytes:
 * directory = n:v n*( at:v ) records:v entries:v queries:v gaps:v   ; at is the distance from the previous index, so that an index can't refer back
 * </pre>
 */
package sprucehold.trace.format;
