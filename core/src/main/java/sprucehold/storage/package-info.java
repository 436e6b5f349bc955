/**
 * JSON form in which the types of the decision interface are stored and printed. The entry point is
 * {@link sprucehold.storage.StoredJson}. The package must never read or write a file itself.
 */
package sprucehold.storage;
