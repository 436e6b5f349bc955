package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.deployment.InvalidSettingsException;

/** Tests of reading the configuration of a gatherer. */
public class NodeConfigTest extends GathererTestBed {
    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {new String[] {NODE_FIELDS}},
            {new String[] {SETTINGS}},
            {new String[] {NODE_FIELDS, SETTINGS, "x"}},
            {new String[] {SETTINGS, NODE_FIELDS.replace("127.0.0.1:0", "127.0.0.1")}},
            {new String[] {SETTINGS, NODE_FIELDS.replace("127.0.0.1:1", ":1")}},
            {new String[] {SETTINGS, NODE_FIELDS.replace("ffffffffffffffff", "seed")}},
            {new String[] {NODE_FIELDS, SETTINGS.replace("retryable", "odd")}},
            {
                new String[] {
                    NODE_FIELDS, SETTINGS.replace("\"sets\"", "\"classFetch\":[2],\"sets\"")
                }
            },
            {
                new String[] {
                    NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS.replace("\"name\"", "\"other\"")
                }
            },
        };
    }

    @Test(dataProvider = "malformed")
    public void malformedFileIsRejected(String[] members) {
        assertThrows(InvalidSettingsException.class, () -> config(members));
    }

    @Test
    public void argumentsTakePrecedenceOverFile() throws IOException {
        NodeConfig config = config(NODE_FIELDS, SETTINGS, KNOWN_ENDPOINTS);
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
