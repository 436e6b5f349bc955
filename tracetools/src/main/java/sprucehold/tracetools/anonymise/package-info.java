/**
 * Takes identities out of a trace: {@link sprucehold.tracetools.anonymise.Anonymiser}. Which
 * queries keep a tenant's pseudonym is decided by {@link
 * sprucehold.tracetools.anonymise.PseudonymQuota} so that all pseudonyms look alike in volume and
 * rhythm. It must never write an id, a name, a value, a free text or a time that it has read.
 */
package sprucehold.tracetools.anonymise;
