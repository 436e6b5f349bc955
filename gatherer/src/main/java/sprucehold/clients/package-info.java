/**
 * The HTTP server: requests read into scans, answers written. The entry point is the class {@code
 * ClientServer}. It must never hold a request back or answer one by itself but to say that it can't
 * be taken.
 */
package sprucehold.clients;
