package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.deployment.InvalidSettingsException;

/** How the configuration of a gatherer is read. */
public class NodeConfigTest extends GathererTestBed {
    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {new String[] {PLACE}},
            {new String[] {SETTINGS}},
            {new String[] {PLACE, SETTINGS, "x"}},
            {new String[] {SETTINGS, PLACE.replace("127.0.0.1:0", "127.0.0.1")}},
            {new String[] {SETTINGS, PLACE.replace("127.0.0.1:1", ":1")}},
            {new String[] {SETTINGS, PLACE.replace("ffffffffffffffff", "seed")}},
            {new String[] {PLACE, SETTINGS.replace("retryable", "odd")}},
            {new String[] {PLACE, SETTINGS.replace("\"sets\"", "\"classFetch\":[2],\"sets\"")}},
            {new String[] {PLACE, SETTINGS, KNOWN.replace("\"name\"", "\"other\"")}},
        };
    }

    @Test(dataProvider = "malformed")
    public void fileThatCantBeUsedIsRefused(String[] members) {
        assertThrows(InvalidSettingsException.class, () -> config(members));
    }

    @Test
    public void environmentWinsOverTheFile() throws IOException {
        NodeConfig config = config(PLACE, SETTINGS, KNOWN);
        assertEquals(config.seed(), -1L);
        assertEquals(config.knownEndpoints().index(), 7);
        assertEquals(config.settings().shards(), 4);
        assertEquals(config.settings().longestDeadlineMs(), 300.0);
        assertEquals(
                NodeConfig.read(file, "m", "127.0.0.2:5", null).listen(),
                new NodeConfig.Address("127.0.0.2", 5));
        assertEquals(NodeConfig.read(file, "m", null, null).name(), "m");
        assertEquals(
                NodeConfig.read(file, null, null, "127.0.0.3:9").discovery(),
                new NodeConfig.Address("127.0.0.3", 9));
    }
}
