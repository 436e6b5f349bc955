package sprucehold.shards;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucehold.picker.Load;

public class FrameTest {
    private static Buffer frame(String text) {
        return Buffer.buffer().appendIntLE(text.length()).appendString(text);
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            {"A"},
            {"Zwhat"},
            {"E"},
            {"Ep.1 hit 0 -"},
            {"Ep.1 hit 0\nv"},
            {"Ep.1 hit 0 - -\nv"},
            {"Ep.1 done 0 -\nv"},
            {"E hit 0 -\nv"},
        };
    }

    @Test(dataProvider = "malformed")
    public void whatCantBeReadIsSaid(String text) {
        assertThrows(
                ShardFrame.MalformedException.class, () -> ShardFrame.decode(Buffer.buffer(text)));
    }

    @DataProvider
    Object[][] loads() {
        return new Object[][] {
            {"-", null},
            {"inflight=7,util=0.61", new Load(7, Double.NaN, 0.61)},
            {"queue=3", new Load(Double.NaN, 3, Double.NaN)},
            {"other=1,queue=x", null},
            {"", null},
            {"inflight=NaN,util=0.5", new Load(Double.NaN, Double.NaN, 0.5)},
            {"inflight=-1,queue=Infinity", null},
        };
    }

    @Test(dataProvider = "loads")
    public void loadIsReadAsFarAsItCanBe(String report, Load load) throws Exception {
        var ended =
                (ShardFrame.Ended)
                        ShardFrame.decode(Buffer.buffer("Ep.1 fault 0 " + report + "\n"));
        assertEquals(ended.load(), load);
        assertEquals(
                ((ShardFrame.Probed) ShardFrame.decode(Buffer.buffer("D" + report))).load(), load);
    }

    @Test
    public void framesAreReadWhereverTheyAreSplit() {
        Buffer bytes =
                frame("Ep.1 hit 18 -\nva\nlue")
                        .appendBuffer(frame("Chit"))
                        .appendBuffer(frame("Ep.2 fault 0 -\n"))
                        .appendBuffer(frame("Fno"));
        for (int cut = 1; cut < bytes.length(); cut++) {
            var frames = new ArrayList<ShardFrame>();
            var reader =
                    new FrameReader(
                            frames::add,
                            why -> {
                                throw new AssertionError(why);
                            });
            for (int from = 0; from < bytes.length(); from += cut) {
                reader.handle(bytes.getBuffer(from, Math.min(bytes.length(), from + cut)), 0);
            }
            assertEquals(frames.size(), 4);
            var ended = (ShardFrame.Ended) frames.get(0);
            assertEquals(ended.partId(), "p.1");
            assertEquals(new String(ended.value()), "va\nlue");
            assertEquals(frames.get(1), new ShardFrame.Probed(true, null));
            assertEquals(((ShardFrame.Ended) frames.get(2)).end(), ShardFrame.End.FAULT);
            assertEquals(frames.get(3), new ShardFrame.Unusable("no"));
        }
    }

    @DataProvider
    Object[][] lengths() {
        return new Object[][] {{0}, {-1}, {Integer.MAX_VALUE}, {128 * 1024 + 1}};
    }

    @Test(dataProvider = "lengths")
    public void absurdLengthsEndTheReadingForGood(int length) {
        var why = new ArrayList<String>();
        var reader = new FrameReader(frame -> why.add("frame"), why::add);
        reader.handle(Buffer.buffer().appendIntLE(length).appendBuffer(frame("Chit")), 0);
        reader.handle(frame("Chit"), 0);
        assertEquals(why.size(), 1);
        assertTrue(why.get(0).contains(String.valueOf(length)));
    }

    @Test
    public void framesOfAGathererAreAsTheProtocolSays() {
        assertEquals(
                GathererFrame.giveUp("s.3"),
                Buffer.buffer(new byte[] {4, 0, 0, 0, 'B', 's', '.', '3'}));
        assertEquals(GathererFrame.probe(), Buffer.buffer(new byte[] {1, 0, 0, 0, 'C'}));
        assertEquals(GathererFrame.loadProbe(), Buffer.buffer(new byte[] {1, 0, 0, 0, 'D'}));
    }
}
