/**
 * Configuration documents, which contain all settings that operators may change while a gatherer
 * runs. {@link sprucehold.change.document.DocumentReader} reads them and reports all errors at
 * once, {@link sprucehold.change.document.SemanticValidator} validates them, and {@link
 * sprucehold.change.document.DocumentDifference} compares them. The package is purely functional:
 * it must never use a file, a clock or a thread.
 */
package sprucehold.change.document;
