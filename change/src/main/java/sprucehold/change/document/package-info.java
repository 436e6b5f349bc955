/**
 * What operators may change of a running gatherer, as one document: read with all errors reported
 * at once ({@link sprucehold.change.document.DocumentReader}), validated ({@link
 * sprucehold.change.document.SemanticValidator}) and compared ({@link
 * sprucehold.change.document.DocumentDifference}). Pure: it must never use a file, a clock or a
 * thread.
 */
package sprucehold.change.document;
