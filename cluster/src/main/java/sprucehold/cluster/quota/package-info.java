/**
 * Units of a bound over the fleet, lent among gatherers without a coordinator. The entry points are
 * {@link sprucehold.cluster.quota.UnitLedger}, which keeps the bound whatever happens to messages
 * and processes, and {@link sprucehold.cluster.quota.Exchange}, which moves units to where they are
 * wanted. Pure: no sockets, files, threads or clocks; it must never take a message's word for a
 * bound.
 */
package sprucehold.cluster.quota;
