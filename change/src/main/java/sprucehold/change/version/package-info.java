/**
 * The numbered line of versions and what becomes of each: {@link
 * sprucehold.change.version.VersionLine}, events in, actions out. At any moment one whole version
 * is live. It must never touch a file, a clock or a thread, and never lets a number go back.
 */
package sprucehold.change.version;
