/**
 * HTTP server that reads clients' requests into queries and writes their answers. The entry point
 * is {@link sprucehold.clients.ClientServer}; {@code QueryReader} and {@code AnswerWriter} are the
 * only classes that depend on the headers and JSON keys. This package must never delay a request.
 * It answers a request by itself only if it is a health check, can't be read as a query, or failed
 * with an exception in this program.
 */
package sprucehold.clients;
