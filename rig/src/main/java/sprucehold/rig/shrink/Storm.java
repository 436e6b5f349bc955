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

/** Draws faults by chance: up to six at once, of all kinds that a gatherer of today can meet. */
public final class Storm {
    /**
     * What befalls gatherers that talk alone: datagrams pass between no others, and clocks that are
     * off bound nothing.
     */
    private static final Set<Fault.Kind> OF_TALK =
            EnumSet.of(
                    Fault.Kind.LOSE,
                    Fault.Kind.DOUBLE,
                    Fault.Kind.REORDER,
                    Fault.Kind.CLOCK_OFF,
                    Fault.Kind.CLOCK_DRIFT,
                    Fault.Kind.CLOCK_JUMP,
                    Fault.Kind.TWIN,
                    Fault.Kind.FLOOD);

    private static final int MOST = 6;

    private final Script script;
    private final Parties parties;
    private final UniformRandomProvider chance;

    private Storm(Script script, long seed) {
        this.script = script;
        this.parties = Parties.of(script);
        this.chance = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** The same script with other faults; the same for the same seed. */
    public static Script draw(Script script, long seed) {
        return new Storm(script, seed).draw();
    }

    private Script draw() {
        var faults = new ArrayList<Fault>();
        int count = 1 + chance.nextInt(MOST);
        for (int i = 0; i < count; i++) {
            faults.add(fault("fault " + (i + 1)));
        }
        // Rules hold in any storm; what service is left depends on it.
        return script.with(List.copyOf(faults)).with(new Script.Bands(0));
    }

    private Fault fault(String name) {
        List<Fault.Kind> kinds =
                Arrays.stream(Fault.Kind.values())
                        .filter(kind -> script.together() != null || !OF_TALK.contains(kind))
                        .toList();
        Fault.Kind kind = kinds.get(chance.nextInt(kinds.size()));
        double at = chance.nextDouble() * script.lengthS() * 0.7;
        double lasts = 0.2 + chance.nextDouble() * script.lengthS() * 0.4;
        Fault.Mode mode = Fault.Mode.values()[chance.nextInt(3)];
        double amount =
                switch (kind.unit()) {
                    case NONE -> 0;
                    // Within what scripts state of their clocks unless they state less.
                    case PPM -> 400 * (2 * chance.nextDouble() - 1);
                    case MS -> 10 + chance.nextInt(kind == Fault.Kind.LIST_LATE ? 4000 : 400);
                    case BYTES -> 500 + chance.nextInt(20_000);
                    case SHARE -> 0.05 + 0.45 * chance.nextDouble();
                    case TIMES -> 2 + chance.nextInt(40);
                };
        List<String> gatherers = some(parties.gatherers());
        List<String> servers = some(parties.servers());
        return switch (kind.whom()) {
            case GATHERER ->
                    fault(
                            name,
                            kind,
                            gatherers,
                            List.of(),
                            at,
                            lasts,
                            kind == Fault.Kind.FLOOD ? 100 * amount : amount,
                            mode,
                            List.of());
            // Where gatherers talk, what lies between them is hurt as often as what lies between
            // them and servers.
            case LINK ->
                    fault(
                            name,
                            kind,
                            gatherers,
                            script.together() != null && chance.nextBoolean()
                                    ? parties.gatherers()
                                    : servers,
                            at,
                            lasts,
                            amount,
                            mode,
                            List.of());
            case SERVER -> {
                boolean grey = kind == Fault.Kind.GREY;
                boolean byType = chance.nextBoolean();
                List<String> types =
                        grey && byType
                                ? List.of(
                                        script.tableTypes()
                                                .get(chance.nextInt(script.tableTypes().size()))
                                                .type()
                                                .name())
                                : List.of();
                yield fault(
                        name,
                        kind,
                        servers,
                        grey && !byType ? gatherers : List.of(),
                        at,
                        lasts,
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
                            at,
                            lasts,
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
            double at,
            double lasts,
            double amount,
            Fault.Mode mode,
            List<String> types) {
        return new Fault(
                name,
                kind,
                of,
                to,
                0,
                Math.round(at * 100) / 100.0,
                null,
                Math.round(lasts * 100) / 100.0,
                amount,
                mode,
                chance.nextBoolean(),
                types);
    }

    /** One, a few, or half of them. */
    private List<String> some(List<String> all) {
        int count =
                Math.max(
                        1,
                        switch (chance.nextInt(3)) {
                            case 0 -> 1;
                            case 1 -> Math.min(all.size(), 3);
                            default -> all.size() / 2;
                        });
        var left = new ArrayList<>(all);
        var drawn = new ArrayList<String>();
        for (int i = 0; i < count && !left.isEmpty(); i++) {
            drawn.add(left.remove(chance.nextInt(left.size())));
        }
        return List.copyOf(drawn);
    }
}
