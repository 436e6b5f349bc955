/**
 * The JSON form in which types of the decisions are kept and printed; the entry point is {@link
 * sprucehold.storage.StoredJson}. It must never read or write a file itself.
 */
package sprucehold.storage;
