package sprucehold.rig.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.testng.annotations.Test;
import sprucehold.rig.script.Script;
import sprucehold.rig.script.ScriptReader;
import sprucehold.rig.script.ScriptWriter;

/**
 * Tests the check that a machine has the resources for a run; it reports lacking resources in one
 * line.
 */
public class MachineNeedsTest {
    /** Returns the calm script with 120 gatherers and 300 shard servers. */
    private static Script large() throws IOException {
        String json =
                ScriptWriter.json(ScriptReader.read("calm"))
                        .replace("\"gatherers\" : 2", "\"gatherers\" : 60")
                        .replace("\"holders\" : 2", "\"holders\" : 50");
        Path file = Files.createTempFile("large", ".json");
        try {
            Files.writeString(file, json);
            return ScriptReader.read(file.toString());
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void needsCountAListenerAndAConnectionForEachServerAndGatherer() throws IOException {
        MachineNeeds needs = MachineNeeds.of(large());
        assertTrue(needs.descriptors() >= 2 * 120 * 300, needs.toString());
        assertTrue(needs.memoryMb() >= 120 * 90, needs.toString());
    }

    @Test
    public void lackingResourcesAreNamedInOneLine() {
        var needs = new MachineNeeds(5000, 900);
        assertEquals(needs.lackingOn(new MachineNeeds.Machine(5000, 900)), Optional.empty());
        assertEquals(
                needs.lackingOn(new MachineNeeds.Machine(4999, 900)),
                Optional.of(
                        "this machine lacks what the script needs: 5000 open files and sockets (4999 are allowed)"));
        assertEquals(
                needs.lackingOn(new MachineNeeds.Machine(100, 899)),
                Optional.of(
                        "this machine lacks what the script needs: 5000 open files and sockets (100 are allowed) and "
                                + "900 MiB of memory (899 are available)"));
    }
}
