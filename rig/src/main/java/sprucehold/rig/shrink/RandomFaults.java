package sprucehold.rig.shrink;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Parties;
import sprucehold.rig.script.Script;

/** Draws up to six random faults of all kinds that can affect the gatherers of a script. */
public final class RandomFaults {
    /**
     * Kinds of faults that are drawn only if the gatherers exchange messages. Otherwise no
     * datagrams pass between gatherers, and nothing depends on the error of a clock.
     */
    private static final Set<Fault.Kind> PEER_MESSAGE_KINDS =
            EnumSet.of(
                    Fault.Kind.LOSE,
                    Fault.Kind.DOUBLE,
                    Fault.Kind.REORDER,
                    Fault.Kind.CLOCK_OFF,
                    Fault.Kind.CLOCK_DRIFT,
                    Fault.Kind.CLOCK_JUMP,
                    Fault.Kind.TWIN,
                    Fault.Kind.FLOOD);

    private static final int MAX_FAULTS = 6;

    private final Script script;
    private final Parties parties;
    private final UniformRandomProvider random;

    private RandomFaults(Script script, long seed) {
        this.script = script;
        this.parties = Parties.of(script);
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Returns the script with random faults instead of its own; equal seeds draw equal faults. */
    public static Script draw(Script script, long seed) {
        return new RandomFaults(script, seed).draw();
    }

    private Script draw() {
        var faults = new ArrayList<Fault>();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            faults.add(fault("fault " + (i + 1)));
        }
        // The rules must hold with any faults. The service that remains depends on the faults that
        // were drawn, so its required minimum is set to 0.
        return script.with(List.copyOf(faults)).with(new Script.Bands(0));
    }

    private Fault fault(String name) {
        List<Fault.Kind> kinds =
                Arrays.stream(Fault.Kind.values())
                        .filter(
                                kind ->
                                        script.together() != null
                                                || !PEER_MESSAGE_KINDS.contains(kind))
                        .toList();
        Fault.Kind kind = kinds.get(random.nextInt(kinds.size()));
        double startS = random.nextDouble() * script.lengthS() * 0.7;
        double durationS = 0.2 + random.nextDouble() * script.lengthS() * 0.4;
        Fault.Mode mode = Fault.Mode.values()[random.nextInt(3)];
        double amount =
                switch (kind.unit()) {
                    case NONE -> 0;
                    // At most 400 ppm, which is within the clock drift that a script declares,
                    // unless it declares less.
                    case PPM -> 400 * (2 * random.nextDouble() - 1);
                    case MS -> 10 + random.nextInt(kind == Fault.Kind.LIST_LATE ? 4000 : 400);
                    case BYTES -> 500 + random.nextInt(20_000);
                    case SHARE -> 0.05 + 0.45 * random.nextDouble();
                    case TIMES -> 2 + random.nextInt(40);
                };
        List<String> gatherers = randomNames(parties.gatherers());
        List<String> servers = randomNames(parties.servers());
        return switch (kind.whom()) {
            case GATHERER ->
                    fault(
                            name,
                            kind,
                            gatherers,
                            List.of(),
                            startS,
                            durationS,
                            kind == Fault.Kind.FLOOD ? 100 * amount : amount,
                            mode,
                            List.of());
            // If gatherers exchange messages, the links between them are drawn as often as the
            // links to shard servers.
            case LINK ->
                    fault(
                            name,
                            kind,
                            gatherers,
                            script.together() != null && random.nextBoolean()
                                    ? parties.gatherers()
                                    : servers,
                            startS,
                            durationS,
                            amount,
                            mode,
                            List.of());
            case SERVER -> {
                boolean grey = kind == Fault.Kind.GREY;
                boolean byType = random.nextBoolean();
                List<String> types =
                        grey && byType
                                ? List.of(
                                        script.tableTypes()
                                                .get(random.nextInt(script.tableTypes().size()))
                                                .type()
                                                .name())
                                : List.of();
                yield fault(
                        name,
                        kind,
                        servers,
                        grey && !byType ? gatherers : List.of(),
                        startS,
                        durationS,
                        amount,
                        mode,
                        types);
            }
            case DISCOVERY ->
                    fault(
                            name,
                            kind,
                            gatherers,
                            kind == Fault.Kind.LIST_HIDES ? servers : List.of(),
                            startS,
                            durationS,
                            amount,
                            mode,
                            List.of());
        };
    }

    private Fault fault(
            String name,
            Fault.Kind kind,
            List<String> of,
            List<String> to,
            double startS,
            double durationS,
            double amount,
            Fault.Mode mode,
            List<String> types) {
        return new Fault(
                name,
                kind,
                of,
                to,
                0,
                Math.round(startS * 100) / 100.0,
                null,
                Math.round(durationS * 100) / 100.0,
                amount,
                mode,
                random.nextBoolean(),
                types);
    }

    /** Returns one, up to three, or half of the names, drawn at random. */
    private List<String> randomNames(List<String> all) {
        int count =
                Math.max(
                        1,
                        switch (random.nextInt(3)) {
                            case 0 -> 1;
                            case 1 -> Math.min(all.size(), 3);
                            default -> all.size() / 2;
                        });
        var remaining = new ArrayList<>(all);
        var drawn = new ArrayList<String>();
        for (int i = 0; i < count && !remaining.isEmpty(); i++) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return List.copyOf(drawn);
    }
}
