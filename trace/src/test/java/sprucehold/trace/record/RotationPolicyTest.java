package sprucehold.trace.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.trace.event.Gap;

public class RotationPolicyTest {
    @DataProvider
    Object[][] steps() {
        return new Object[][] {
            // time since the file was begun in ms, bytes in the file, expected step
            {0.0, 99L, RotationPolicy.Step.WRITE},
            {0.0, 100L, RotationPolicy.Step.BEGIN},
            {999.0, 0L, RotationPolicy.Step.WRITE},
            {1000.0, 0L, RotationPolicy.Step.BEGIN},
            {-5000.0, 0L, RotationPolicy.Step.WRITE},
        };
    }

    @Test(dataProvider = "steps")
    public void fileIsEndedAtItsSizeOrAgeAndNotWhenTheClockStepsBack(
            double elapsedMs, long writtenBytes, RotationPolicy.Step step) {
        var rotation = new RotationPolicy(100, 1000);
        assertEquals(rotation.next(5, 0), RotationPolicy.Step.BEGIN);
        rotation.fileBegun(10_000);
        assertEquals(rotation.next(10_000 + elapsedMs, writtenBytes), step);
    }

    @Test
    public void failedDiskIsRetriedAfterTheDelayAndLostCallsFormOneGap() {
        var rotation = new RotationPolicy(100, 1000);
        rotation.fileBegun(0);
        assertTrue(rotation.writeFailed(50));
        rotation.dropped(7, 50, 1, 50);
        assertEquals(rotation.next(29_000, 0), RotationPolicy.Step.DROP);
        rotation.dropped(8, 29_000, 4, 29_500);
        assertEquals(rotation.next(30_050, 0), RotationPolicy.Step.BEGIN);
        assertFalse(rotation.writeFailed(30_050), "only the first failure is new");
        assertEquals(rotation.next(60_100, 0), RotationPolicy.Step.BEGIN);
        assertTrue(rotation.fileBegun(60_100));
        assertEquals(rotation.takeGap(), new Gap(0, 7, 50, 5, 29_500));
        assertNull(rotation.takeGap());
        assertFalse(rotation.fileBegun(70_000));
    }

    @Test
    public void oldestFilesAreSurplus() {
        assertEquals(RotationPolicy.surplus(List.of("c", "a", "b"), 2), List.of("a"));
        assertEquals(RotationPolicy.surplus(List.of("c", "a"), 2), List.of());
    }
}
