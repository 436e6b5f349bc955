/**
 * State machine of configuration versions: {@link sprucehold.change.version.VersionHistory} takes
 * events and returns commands. At any moment exactly one complete version is live. The package must
 * never use a file, a clock or a thread, and version numbers must never decrease.
 */
package sprucehold.change.version;
