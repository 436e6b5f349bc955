package sprucehold.clustering;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.decision.SharedLimit;
import sprucehold.messaging.PeerMessagingSettings;

public class ClusterConfigTest {
    private static ClusterConfig read(String text) throws IOException {
        Path file = Files.createTempFile("together", ".json");
        try {
            return ClusterConfig.read(Files.writeString(file, text));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void missingFieldsGetTheirDefaults() throws IOException {
        ClusterConfig config =
                read(
                        "{\"members\":[{\"name\":\"a\",\"address\":\"10.0.0.1:8700\"},"
                                + "{\"name\":\"b\",\"site\":\"y\",\"address\":\"10.0.0.2:8700\",\"listen\":\"0.0.0.0:9\"}]}");
        assertEquals(
                config.members().get("a"),
                new ClusterConfig.Member(
                        "",
                        new PeerMessagingSettings.Address("10.0.0.1", 8700),
                        new PeerMessagingSettings.Address("10.0.0.1", 8700)));
        assertEquals(
                config.members().get("b").listen(),
                new PeerMessagingSettings.Address("0.0.0.0", 9));
        assertEquals(config.shared(), Set.of(SharedLimit.Kind.SLOW_START));
    }

    @Test
    public void keysOfAFileOfAnEarlierBuildAreReadIntoTheSameFields() throws IOException {
        ClusterConfig config =
                read(
                        "{\"members\":[{\"name\":\"a\",\"site\":\"x\",\"address\":\"10.0.0.1:8700\","
                                + "\"listen\":\"0.0.0.0:9\"}],"
                                + "\"bounds\":{\"cold\":false,\"customers\":true,"
                                + "\"further\":{\"dispatches\":7,\"windowMs\":1500}},"
                                + "\"driftPpm\":40,\"clocksOffMs\":60,\"lettersPerS\":80,\"bytesPerS\":90000}");
        assertEquals(
                config,
                new ClusterConfig(
                        Map.of(
                                "a",
                                new ClusterConfig.Member(
                                        "x",
                                        new PeerMessagingSettings.Address("10.0.0.1", 8700),
                                        new PeerMessagingSettings.Address("0.0.0.0", 9))),
                        Set.of(SharedLimit.Kind.TENANT_QUOTA, SharedLimit.Kind.RETRIES),
                        7,
                        1500,
                        40,
                        60,
                        80,
                        90_000));
    }

    @Test
    public void shippedFileIsValid() throws IOException {
        ClusterConfig config = ClusterConfig.read(Path.of("../deploy/together.json"));
        assertEquals(config.members().size(), 3);
        assertEquals(config.retriesPerWindow(), 60);
    }

    @DataProvider
    Object[][] malformed() {
        String one = "{\"name\":\"a\",\"address\":\"h:1\"}";
        return new Object[][] {
            {"{", "line 1: not JSON"},
            {"{}", "members"},
            {"{\"members\":[]}", "members"},
            {"{\"members\":[" + one + "],\"odd\":1}", "odd"},
            {"{\"members\":[" + one + "," + one + "]}", "members[1].name: duplicate name a"},
            {"{\"members\":[{\"name\":\"a\",\"address\":\"h\"}]}", "address"},
            {
                "{\"members\":[{\"name\":\"a\",\"address\":\"h:0\"}]}",
                "members[0].address: port 0; expected 1 to 65535"
            },
            {
                "{\"members\":[{\"name\":\"a\",\"address\":\"h:1\",\"listen\":\"h:99999\"}]}",
                "members[0].listen: port 99999"
            },
            {"{\"members\":[{\"name\":\"a b\",\"address\":\"h:1\"}]}", "name"},
            {"{\"members\":[" + one + "],\"bounds\":{\"further\":{}}}", "dispatches"},
            {"{\"members\":[" + one + "],\"driftPpm\":-1}", "driftPpm"},
            {"{\"members\":[" + one + "],\"members\":[]}", "Duplicate"},
        };
    }

    @Test(dataProvider = "malformed")
    public void malformedFileFailsWithOneLineThatNamesTheError(String text, String expected) {
        String message = expectThrows(IOException.class, () -> read(text)).getMessage();
        assertTrue(message.contains(expected) && !message.contains("\n"), message);
    }
}
