package sprucehold.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.plan.Planner;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.rig.script.ScriptReader;
import sprucehold.rig.script.ScriptWriter;
import sprucehold.rig.shrink.RandomFaults;

/** Tests how scripts are read and written, and the plans that are drawn from them. */
public class ScriptTest {
    @DataProvider
    Object[][] shipped() {
        return ScriptReader.SHIPPED_SCRIPTS.stream()
                .map(name -> new Object[] {name})
                .toArray(Object[][]::new);
    }

    private static Script read(String json) throws IOException {
        Path file = Files.createTempFile("script", ".json");
        try {
            Files.writeString(file, json);
            return ScriptReader.read(file.toString());
        } finally {
            Files.delete(file);
        }
    }

    @Test(dataProvider = "shipped")
    public void aWrittenScriptIsReadAsTheSameScript(String name) throws IOException {
        Script script = ScriptReader.read(name);
        assertEquals(read(ScriptWriter.json(script)), script);
    }

    private static String edit(String original, String replacement) {
        String json = ScriptWriter.json(Scripts.shipped("deaf"));
        assertTrue(json.contains(original), original);
        return json.replace(original, replacement);
    }

    @DataProvider
    Object[][] invalidScripts() {
        return new Object[][] {
            {"not JSON", "{\n\"name\": }", "line 2: not JSON"},
            {"a duplicate name", "{\"name\":\"a\",\"name\":\"b\"}", "Duplicate field 'name'"},
            {"an unknown field", edit("\"lengthS\"", "\"length\" : 3,\n \"lengthS\""), "'length'"},
            {"an unknown kind", edit("\"list-silent\"", "\"deafness\""), "faults[0].kind"},
            {
                "a time after the end",
                edit("\"atS\" : 2.0", "\"atS\" : 200.0"),
                "faults[0].atS: 200.0 s is past the end at 10.0 s"
            },
            {
                "an unknown party",
                edit("\"a-0\"", "\"a-7\""),
                "faults[0].of: no party is selected by a-7"
            },
            {
                "a party of the wrong kind",
                edit("\"a-0\"", "\"s-a-0-0\""),
                "faults[0].of: s-a-0-0, gatherers were expected"
            },
            {
                "an amount for a kind without one",
                edit("\"amount\" : 0.0", "\"amount\" : 7.0"),
                "faults[0].amount: 7.0 for list-silent, but none was expected"
            },
            {
                "an unknown site",
                edit("\"site\" : \"a\"", "\"site\" : \"q\""),
                "load[0].site: no site with gatherers is named q"
            },
            {
                "an unknown table type",
                edit("\"tableType\" : \"stamps\"", "\"tableType\" : \"stamp\""),
                "tableType: no table type is named stamp"
            },
            {
                "more parts than segments",
                edit("\"parts\" : 6", "\"parts\" : 60"),
                "parts: 60 exceeds the number of segments (24)"
            },
        };
    }

    @Test(dataProvider = "invalidScripts")
    public void anInvalidScriptGivesOneErrorLineWithItsCause(
            String name, String json, String expected) {
        String message = expectThrows(IOException.class, () -> read(json)).getMessage();
        assertTrue(message.contains(expected), message);
        assertFalse(message.contains("\n"), message);
    }

    @Test
    public void aCycleOfThreeTriggersIsRejected() {
        var faults = List.of(after("a", "c"), after("b", "a"), after("c", "b"));
        String message =
                expectThrows(
                                IOException.class,
                                () -> read(ScriptWriter.json(Scripts.calm(5).with(faults))))
                        .getMessage();
        assertTrue(message.contains("faults[0].when: cyclic triggers through"), message);
    }

    private static Fault after(String name, String before) {
        return new Fault(
                name,
                Fault.Kind.PAUSE,
                List.of("a-0"),
                List.of(),
                0,
                0.1,
                new Fault.Trigger(before, "", 0),
                0.2,
                0,
                Fault.Mode.SILENT,
                false,
                List.of());
    }

    @Test(dataProvider = "shipped")
    public void theSameSeedGivesTheSamePlanToTheByteAndAnotherSeedAnotherPlan(String name) {
        Script script = Scripts.shipped(name);
        assertEquals(Planner.json(Planner.plan(script, 7)), Planner.json(Planner.plan(script, 7)));
        assertNotEquals(
                Planner.json(Planner.plan(script, 7)), Planner.json(Planner.plan(script, 8)));
    }

    @Test
    public void droppingOneFaultChangesNeitherOtherFaultsNorQueries() {
        Script script = Scripts.shipped("grey");
        Plan full = Planner.plan(script, 3);
        Plan reduced = Planner.plan(script.with(script.faults().subList(1, 3)), 3);
        assertEquals(reduced.faults(), full.faults().subList(1, 3));
        assertEquals(reduced.asks(), full.asks());
    }

    @Test
    public void queriesArriveAtTheirRatesBeforeAndAfterARamp() {
        Script calm = Scripts.calm(200);
        var load = calm.load().get(0);
        var ramped =
                new Script.Load(
                        load.site(),
                        load.customer(),
                        load.tableType(),
                        10,
                        load.parts(),
                        load.popular(),
                        List.of(new Script.Ramp(100, 40)),
                        0,
                        100,
                        500);
        Script script =
                new Script(
                        "ramp",
                        200,
                        calm.sites(),
                        calm.segments(),
                        calm.cells(),
                        calm.tableTypes(),
                        calm.customers(),
                        calm.servers(),
                        calm.limits(),
                        calm.coldRule(),
                        calm.budget(),
                        0,
                        List.of(ramped),
                        List.of(),
                        calm.bands());
        var asks = Planner.plan(script, 11).asks();
        long before = asks.stream().filter(ask -> ask.atMs() < 100_000).count();
        // Poisson distributions with means 1,000 and 4,000: the tolerance is five standard
        // deviations.
        assertEquals(before, 1000, 160);
        assertEquals(asks.size() - before, 4000, 320);
        assertTrue(asks.stream().allMatch(ask -> ask.weights().size() == load.parts()));
    }

    @Test
    public void scriptsWithRandomFaultsAreValidAndReproducible() throws IOException {
        for (long seed = 0; seed < 200; seed++) {
            Script drawn = RandomFaults.draw(Scripts.calm(8), seed);
            assertEquals(read(ScriptWriter.json(drawn)), drawn);
            assertEquals(RandomFaults.draw(Scripts.calm(8), seed), drawn);
        }
    }
}
