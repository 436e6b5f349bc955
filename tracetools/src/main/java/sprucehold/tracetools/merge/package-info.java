/**
 * Merges trace files of several gatherers, or pieces of one, into one: {@link
 * sprucehold.tracetools.merge.TraceMerge}. It must never put a source's own entries out of their
 * order, whatever clocks say, nor hold more of a file than a block.
 */
package sprucehold.tracetools.merge;
