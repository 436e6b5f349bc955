/**
 * Units of a shared limit, lent among gatherers without a coordinator. The entry points are {@link
 * sprucehold.cluster.quota.QuotaLedger}, which keeps the limit whatever happens to messages and
 * processes, and {@link sprucehold.cluster.quota.LeaseExchange}, which moves units to where they
 * are wanted. Pure: no sockets, files, threads or clocks; it must never let what a message says
 * raise a limit.
 */
package sprucehold.cluster.quota;
