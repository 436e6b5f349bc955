/**
 * The trace file, byte by byte. {@link sprucehold.trace.format.TraceWriter} and {@link
 * sprucehold.trace.format.TraceReader} are the entry points. The package must never trust a length,
 * an offset or a number that it has read: each is held against its bound before anything is
 * allocated or followed.
 *
 * <h2>Grammar, version 1.1</h2>
 *
 * <p>Fixed numbers are little-endian: {@code u16}, {@code u32}, {@code u64}, {@code f64} (IEEE
 * 754). {@code v} is an unsigned and {@code z} a zigzag base-128 varint as protobuf writes them,
 * {@code str} a {@code v} length and so many bytes of UTF-8. Checksums are CRC-32C.
 *
 * <pre>
 * file      = header *( block / index ) directory footer
 * header    = magic major minor length json crc
 *   magic     = 89 53 50 52 54 52 43 0A            ; so that text tools and line-end conversion show up at once
 *   major     = u16                                ; 1; a reader refuses a greater one
 *   minor     = u16                                ; 1; a greater one only adds record kinds, fields at records' ends
 *   length    = u32                                ; bytes of json, at most 16 MiB
 *   json      = the header: sources with seeds and facts, how it was thinned, cut or anonymised
 *   crc       = u32                                ; of all bytes of the file before it
 * block     = frame of kind 1; holds entries, needs no other block
 * index     = frame of kind 2; of the blocks since the index before
 * directory = frame of kind 3; where the indexes are
 * frame     = marker kind method zero rawlen storedlen entries records earliest latest crc free stored
 *   marker    = 53 42 4C 4B
 *   kind      = one byte; others than 1 to 3 are skipped
 *   method    = one byte: 0 stored as it is, 1 deflate (RFC 1951)
 *   zero      = u16 0
 *   rawlen    = u32                                ; bytes after inflating, at most 8 MiB
 *   storedlen = u32                                ; bytes of stored, at most 8 MiB and 64 KiB
 *   entries   = u32                                ; policy calls and gaps in it
 *   records   = u32                                ; events, commands and gaps in it
 *   earliest  = f64                                ; least and greatest time of its entries, NaN where there are none
 *   latest    = f64
 *   crc       = u32                                ; of all of the frame but itself
 *   free      = u32 0
 * footer    = 46 4F 4F 54 dirat filelen records crc magic
 *   dirat     = u64                                ; where the directory begins
 *   filelen   = u64                                ; length of the whole file
 *   records   = u64                                ; in the whole file
 *   crc       = u32                                ; of the footer's bytes before it
 *
 * A block's raw bytes are a sequence of records:
 * record    = kind length body                     ; kind v, length v of body; unknown kinds and the rest of a body that
 *                                                  ; is longer than known are skipped
 *   1  policy call             source:v seq:z time:z flags:v total:v  ; seq and time less the one before in the
 *                              ; block, time by its f64 bits; flags 1 the policy failed, 2 some items left out
 *   2  gap                     source:v seq:z time:z calls:v to:f64
 *   items of the policy call before; where some are left out, each body begins with its index:v
 *   10 query received          query:name number:v class:v tenant:v left:num *1class *1tenant
 *                              ; indices into the header's deployment, tenant + 1, 0 for none; one beyond the last
 *                              ; stands for one that came by a change, told as str in JSON at the record's end
 *   11 part received           part:name query-number:v shard:z weight:num
 *   12 attempt ended           part:name number:v outcome:v duration:num load
 *   13 client disconnected     query:name
 *   14 endpoints updated       complete:v n:v n*( server:name replica-group:z zone:name started:num state:v )
 *   15 endpoints unavailable
 *   16 health check ended      server:name outcome:v duration:num load
 *   17 wake-up
 *   18 deployment changed      str                                   ; the deployment as JSON
 *   19 cluster view changed    gatherers:v n:v n*( limit units:v ) m:v m*( server:name failure-score:num )
 *                              ; from 1.1 on
 *   30 send attempt            part:name server:name timeout:num reason:v position:v n:v n*( server:name cause:v )
 *   31 cancel attempt          part:name number:v reason:v
 *   32 answer query            query:name complete:v reason:v
 *   33 reject query            query:name retry-after:num reason:v
 *   34 fail query              query:name reason:v
 *   35 schedule wake-up        delay:num
 *   36 check health            server:name
 *   37 subscribe to endpoints  reason:v
 *   38 log message             str
 *   39 consume allowance       limit units:v                         ; from 1.1 on
 *   outcome, state, reason, cause and the kind of a limit are the stored numbers of
 *   {@link sprucehold.decision.StoredEnum}
 *   limit     = kind:v subject:name
 *   load      = 0 / 1 held:num queued:num busy:num
 *   num       = v                                   ; an f64's bits with their bytes reversed: round numbers are short
 *   name      = 0 str / 1 ref:v str / n:v           ; new / new, the ref-th name and so much more / the (n - 2)th name
 *                                                   ; names are numbered from 0 as they come up in the block
 *
 * An index's raw bytes:
 * index     = n:v n*( at:v length:v entries:v records:v earliest:f64 latest:f64 )  ; at less the end of the one before
 *             m:v m*( hash:u64 ) m*( block:u16 )    ; queries by rising unsigned hash, then block; blocks from 0 in the index
 *             s:v s*( server:str k:v k*( block:v ) )
 *   hash      = the first 8 bytes of SHA-256 of the query's id
 * A directory's raw bytes:
 * directory = n:v n*( at:v ) records:v entries:v queries:v gaps:v   ; at less the one before: indexes can't lead back
 * </pre>
 */
package sprucehold.trace.format;
