/**
 * Merges trace files of several gatherers, or pieces of one file, into one file: {@link
 * sprucehold.tracetools.merge.TraceMerge}. The package must never change the order of a source's
 * own entries, whatever the clocks show, nor keep more than one block of a file in memory.
 */
package sprucehold.tracetools.merge;
