package sprucehold.rig.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import sprucehold.rig.script.Script;

public class AddressesTest {
    @Test
    public void gatherersOfTheLargestFleetHaveDistinctLoopbackAddresses() throws IOException {
        try (var addresses = Addresses.claim()) {
            Set<String> hosts = new HashSet<>();
            for (int gatherer = 0; gatherer < Script.MAX_GATHERERS; gatherer++) {
                hosts.add(addresses.gathererHost(gatherer));
                hosts.add(addresses.twinHost(gatherer));
                hosts.add(addresses.peersHost(gatherer));
                hosts.add(addresses.discoveryHost(gatherer));
            }
            assertEquals(hosts.size(), 4 * Script.MAX_GATHERERS);
            for (String host : hosts) {
                assertTrue(InetAddress.getByName(host).isLoopbackAddress(), host);
            }
        }
    }

    @Test
    public void allServersAndTwoConsecutiveLivesOfEachHaveDistinctPorts() throws IOException {
        try (var addresses = Addresses.claim()) {
            Set<Integer> ports = new HashSet<>();
            IntStream.range(0, Script.MAX_SERVERS)
                    .forEach(
                            server -> {
                                ports.add(addresses.serverPort(server, 7));
                                ports.add(addresses.serverPort(server, 8));
                            });
            assertEquals(ports.size(), 2 * Script.MAX_SERVERS);
            assertTrue(
                    ports.stream()
                            .allMatch(port -> port > addresses.messagePort() && port < 65_536));
        }
    }
}
