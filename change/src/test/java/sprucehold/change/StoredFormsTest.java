package sprucehold.change;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.ValidationError;
import sprucehold.change.rollout.RolloutState;
import sprucehold.change.rollout.RolloutState.GathererState;
import sprucehold.change.rollout.RolloutState.Phase;

/**
 * Tests that the JSON in files and in the output of the command line is the same as that of earlier
 * builds.
 */
public class StoredFormsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static RolloutState withAllStates(Phase phase) {
        var states = new TreeMap<String, GathererState>();
        for (GathererState state : GathererState.values()) {
            states.put("g" + states.size(), state);
        }
        return new RolloutState(
                "r1", List.of(List.of("g0"), List.of("g1", "g2")), 1, states, phase, "fell");
    }

    @Test
    public void rolloutStateOfAnEarlierBuildIsReadAndWrittenByteForByte() throws Exception {
        Map<Phase, String> phases =
                Map.of(
                        Phase.ROLLING,
                        "ROLLING",
                        Phase.REVERTING,
                        "TAKING_BACK",
                        Phase.DONE,
                        "DONE",
                        Phase.HALTED,
                        "HALTED");
        assertEquals(phases.keySet(), Set.of(Phase.values()));
        for (Phase phase : Phase.values()) {
            String stored =
                    "{\"id\":\"r1\",\"waves\":[[\"g0\"],[\"g1\",\"g2\"]],\"wave\":1,\"standing\":{"
                            + "\"g0\":\"UNTOUCHED\",\"g1\":\"ASKED\",\"g2\":\"WATCHED\",\"g3\":\"CONFIRMED\","
                            + "\"g4\":\"TURNED_DOWN\",\"g5\":\"UNDONE\",\"g6\":\"TAKING_BACK\",\"g7\":\"TAKEN_BACK\"},"
                            + "\"phase\":\""
                            + phases.get(phase)
                            + "\",\"why\":\"fell\"}";
            assertEquals(MAPPER.writeValueAsString(withAllStates(phase)), stored);
            assertEquals(MAPPER.readValue(stored, RolloutState.class), withAllStates(phase));
        }
    }

    @Test
    public void differenceIsWrittenWithTheKeysOfEarlierBuilds() throws Exception {
        assertEquals(
                MAPPER.writeValueAsString(
                        DocumentDifference.between(Documents.basic(), Documents.variant(-40))),
                "{\"words\":[{\"path\":\"/limits/maxOpen\",\"words\":\"what may be open at once falls"
                        + " from 200 to 160\",\"risk\":\"MIDDLE\"}],\"risk\":\"MIDDLE\"}");
    }

    @Test
    public void validationErrorIsWrittenWithTheKeysOfEarlierBuilds() throws Exception {
        assertEquals(
                MAPPER.writeValueAsString(new ValidationError("/limits", "wrong", "mend it")),
                "{\"path\":\"/limits\",\"what\":\"wrong\",\"mend\":\"mend it\"}");
    }
}
