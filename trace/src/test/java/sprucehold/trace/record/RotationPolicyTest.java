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
            // time since the file was begun, bytes in it, step
            {0.0, 99L, RotationPolicy.Step.WRITE},
            {0.0, 100L, RotationPolicy.Step.BEGIN},
            {999.0, 0L, RotationPolicy.Step.WRITE},
            {1000.0, 0L, RotationPolicy.Step.BEGIN},
            {-5000.0, 0L, RotationPolicy.Step.WRITE},
        };
    }

    @Test(dataProvider = "steps")
    public void fileIsEndedBySizeAndAgeAndNotByAClockThatStepsBack(
            double after, long written, RotationPolicy.Step step) {
        var duty = new RotationPolicy(100, 1000);
        assertEquals(duty.next(5, 0), RotationPolicy.Step.BEGIN);
        duty.begun(10_000);
        assertEquals(duty.next(10_000 + after, written), step);
    }

    @Test
    public void diskThatFailedIsLeftAloneThenTriedAndWhatWasLostIsOneGap() {
        var duty = new RotationPolicy(100, 1000);
        duty.begun(0);
        assertTrue(duty.failed(50));
        duty.dropped(7, 50, 1, 50);
        assertEquals(duty.next(29_000, 0), RotationPolicy.Step.DROP);
        duty.dropped(8, 29_000, 4, 29_500);
        assertEquals(duty.next(30_050, 0), RotationPolicy.Step.BEGIN);
        assertFalse(duty.failed(30_050), "told once");
        assertEquals(duty.next(60_100, 0), RotationPolicy.Step.BEGIN);
        assertTrue(duty.begun(60_100));
        assertEquals(duty.takeGap(), new Gap(0, 7, 50, 5, 29_500));
        assertNull(duty.takeGap());
        assertFalse(duty.begun(70_000));
    }

    @Test
    public void oldestFilesAreSurplus() {
        assertEquals(RotationPolicy.surplus(List.of("c", "a", "b"), 2), List.of("a"));
        assertEquals(RotationPolicy.surplus(List.of("c", "a"), 2), List.of());
    }
}
