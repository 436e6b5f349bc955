package sprucehold.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.policy.QueryScheduler;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;

/** Tests of the recording of policy calls. */
public class RecordingTest {
    private static final Deployment DEPLOYMENT =
            new Deployment(
                    1,
                    "a",
                    5,
                    1,
                    List.of(),
                    List.of(),
                    new Deployment.ShardLayout(1, 1, 1),
                    new Deployment.Limits(1, 10, false, false, 0),
                    new Deployment.SlowStartRule(1, 0, 1, 0),
                    Deployment.RetryBudget.NONE,
                    new Deployment.EndpointSubscription(true, 1000));

    @Test
    public void recordingContainsEveryPolicyCallWithSeedAndDeployment() throws IOException {
        Path folder = Files.createTempDirectory("recording");
        Path file = Files.writeString(folder.resolve("recording.json"), "{\"folder\": \".\"}");
        Recording recording = Recording.read(file, "g7");
        DecisionPolicy policy = recording.wrap(QueryScheduler::new).create(77, DEPLOYMENT);
        policy.decide(5, List.of(new Event.EndpointsUpdated(true, List.of())));
        policy.decide(6, List.of(new Event.EndpointsUnavailable()));
        recording.end();
        try (Stream<Path> files = Files.list(folder);
                TraceReader reader =
                        TraceReader.open(
                                files.filter(path -> path.toString().endsWith(".trace"))
                                        .findFirst()
                                        .orElseThrow())) {
            assertEquals(reader.header().sources().get(0).gatherer(), "g7");
            assertEquals(reader.header().sources().get(0).seed(), 77);
            assertEquals(reader.header().sources().get(0).deployment(), DEPLOYMENT);
            TraceCursor cursor = reader.all();
            assertEquals(((PolicyCall) cursor.next()).commands().size(), 1);
            assertEquals(cursor.next().nowMs(), 6.0);
        }
    }

    @Test
    public void invalidSettingsFileIsRejected() throws IOException {
        Path file = Files.writeString(Files.createTempFile("recording", ".json"), "{\"files\": 3}");
        assertThrows(IOException.class, () -> Recording.read(file, "g7"));
    }
}
