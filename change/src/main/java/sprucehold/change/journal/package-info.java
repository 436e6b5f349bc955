/**
 * The journal of versions on disk: {@link sprucehold.change.journal.JournalFile}. An entry is on
 * the disk before the step it tells of is taken; a line that was cut off is none.
 */
package sprucehold.change.journal;
