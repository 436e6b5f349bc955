/**
 * Write-ahead journal of versions on disk; the entry point is {@link
 * sprucehold.change.journal.JournalFile}. An entry is on the disk before the transition that it
 * records takes effect. An incomplete line counts as not written.
 */
package sprucehold.change.journal;
