/**
 * What an operator may change of a running gatherer, as one document: read with every fault told at
 * once ({@link sprucehold.change.document.DocumentReader}), checked for its meaning ({@link
 * sprucehold.change.document.MeaningCheck}), and compared in words ({@link
 * sprucehold.change.document.Difference}). Pure: it must never touch a file, a clock or a thread.
 */
package sprucehold.change.document;
