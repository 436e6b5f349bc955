package sprucehold.clients;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucehold.clients.ClientMemory.Use;

public class ClientMemoryTest {
    private static final int FREE_BYTES = 1000;
    private static final int MAX_RESERVED_BYTES = 10_000;

    private final ClientMemory memory = new ClientMemory(MAX_RESERVED_BYTES, FREE_BYTES);

    @Test
    public void allUsesOfAConnectionShareItsFreeAmount() {
        ClientMemory.Account account = memory.open();
        assertTrue(account.resize(Use.HEAD, FREE_BYTES / 2));
        assertTrue(account.resize(Use.INPUT, FREE_BYTES / 2));
        assertEquals(memory.reservedBytes(), 0);
        assertTrue(account.resize(Use.ANSWER, 10));
        assertEquals(memory.reservedBytes(), 10);
        account.resize(Use.HEAD, 0);
        assertEquals(memory.reservedBytes(), 0);
    }

    /** Guards against the end of the process by what many clients hold together. */
    @Test
    public void reservationsOfAllConnectionsAreBoundedAndSmallOnesAreStillGranted() {
        int refusals = 0;
        for (int i = 0; i < 100; i++) {
            refusals += memory.open().resize(Use.BODY, 3000) ? 0 : 1;
        }
        assertTrue(memory.reservedBytes() <= MAX_RESERVED_BYTES);
        assertTrue(refusals > 0);
        assertTrue(memory.open().resize(Use.BODY, FREE_BYTES));
    }

    @Test
    public void theMoreAConnectionHoldsTheEarlierItIsRefused() {
        var large = new ClientMemory(2L * RequestBody.MAX_BYTES, 0);
        assertTrue(large.open().resize(Use.BODY, RequestBody.MAX_BYTES));
        assertFalse(large.open().resize(Use.BODY, RequestBody.MAX_BYTES));
        assertTrue(large.open().resize(Use.BODY, RequestBody.MAX_BYTES / 4));
    }

    @Test
    public void refusedChangeLeavesTheAccountAsItWas() {
        ClientMemory.Account account = memory.open();
        account.resize(Use.BODY, 2000);
        assertFalse(account.resize(Use.BODY, 1_000_000));
        assertEquals(memory.reservedBytes(), 1000);
    }

    @Test
    public void closedAccountReservesNothing() {
        ClientMemory.Account account = memory.open();
        account.resize(Use.BODY, 5000);
        account.close();
        account.close();
        assertTrue(account.resize(Use.ANSWER, 5000));
        assertEquals(memory.reservedBytes(), 0);
    }
}
