/**
 * Removes identities from a trace: {@link sprucehold.tracetools.anonymise.Anonymiser}. {@link
 * sprucehold.tracetools.anonymise.PseudonymQuota} decides which queries keep a tenant's pseudonym,
 * so that all pseudonyms have the same volume and rhythm. The package must never write an id, a
 * name, a value, a free text or a time that it has read.
 */
package sprucehold.tracetools.anonymise;
