/**
 * The write-ahead journal of versions on disk: {@link sprucehold.change.journal.JournalFile}. An
 * entry is on the disk before the transition that it records takes effect; a line that was cut off
 * counts as not written.
 */
package sprucehold.change.journal;
