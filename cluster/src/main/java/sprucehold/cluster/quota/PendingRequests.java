package sprucehold.cluster.quota;

import java.util.LinkedHashMap;
import java.util.Map;

/** Requests for leases and for renewals that have not been answered. */
final class PendingRequests {
    /**
     * One request.
     *
     * @param lender whom it went to
     * @param atMostMs the greatest possible time at which it was sent
     * @param atLeastMs the least possible time at which it was sent
     * @param renews the lease that is to last longer; null where a new one was asked for
     */
    record Request(String lender, double atMostMs, double atLeastMs, Lease renews) {
        boolean isRenewal() {
            return renews != null;
        }
    }

    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private long numbers;

    /** Notes a request, and returns its number, which grows with each. */
    long add(Request request) {
        long number = numbers++;
        requests.put(number, request);
        return number;
    }

    /** Forgets requests that were sent longer ago. */
    void expire(double nowAtLeastMs, double timeoutMs) {
        requests.values().removeIf(request -> nowAtLeastMs - request.atLeastMs > timeoutMs);
    }

    /** The request of that number if it went to that lender, else null. */
    Request sentTo(String lender, long number) {
        Request request = requests.get(number);
        return request != null && request.lender.equals(lender) ? request : null;
    }

    void remove(long number) {
        requests.remove(number);
    }

    /** Whether that lender has been asked for a new lease. */
    boolean asksForLease(String lender) {
        return requests.values().stream()
                .anyMatch(request -> !request.isRenewal() && request.lender.equals(lender));
    }

    /** Whether that lease is asked to last longer. */
    boolean asksToRenew(Lease lease) {
        return requests.values().stream().anyMatch(request -> lease.equals(request.renews));
    }
}
