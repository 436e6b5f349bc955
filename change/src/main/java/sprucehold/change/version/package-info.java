/**
 * The state machine of configuration versions: {@link sprucehold.change.version.VersionHistory},
 * events in, commands out. At any moment exactly one whole version is live. It must never use a
 * file, a clock or a thread, and must never let a version's number go back.
 */
package sprucehold.change.version;
