/**
 * HTTP server that reads clients' requests into queries and writes their answers. The entry point
 * is {@link sprucehold.clients.ClientServer}; {@code QueryReader} and {@code AnswerWriter} are the
 * only classes that depend on the headers and JSON keys. This package must never delay a request.
 * It answers a request by itself only if the request is a health check, isn't a valid query, has
 * the id of an open query or of one that must not run again, or failed with an exception in this
 * program.
 */
package sprucehold.clients;
