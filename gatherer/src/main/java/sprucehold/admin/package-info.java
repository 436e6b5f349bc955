/**
 * Administration: HTTP on an address of the operator's, off unless {@code serve --door} names its
 * file. {@link sprucehold.admin.AdminServer} is the entry point. It must never decide what becomes
 * of a change, and never answer who has no token.
 */
package sprucehold.admin;
