/**
 * The HTTP server: requests are read into queries, answers are written. The entry point is {@link
 * sprucehold.clients.ClientServer}; {@code QueryReader} and {@code AnswerWriter} are the only
 * places that know the headers and keys. It must never hold a request back, or answer one by itself
 * except to say that it can't be read.
 */
package sprucehold.clients;
