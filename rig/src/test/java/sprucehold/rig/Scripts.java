package sprucehold.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import sprucehold.decision.Deployment;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Fault;
import sprucehold.rig.script.Script;
import sprucehold.rig.script.ScriptReader;

/** Scripts and faults for tests. */
final class Scripts {
    private Scripts() {}

    static Script shipped(String name) {
        try {
            return ScriptReader.read(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Fault fault(String name, Fault.Kind kind, double atS, double forS, double amount) {
        return new Fault(
                name,
                kind,
                List.of("x"),
                List.of(),
                0,
                atS,
                null,
                forS,
                amount,
                Fault.Mode.SILENT,
                false,
                List.of());
    }

    static Plan.TargetedFault target(Fault fault, String of, String... to) {
        return new Plan.TargetedFault(fault, List.of(of), List.of(to));
    }

    /** Returns the calm script with another length and other faults, so that a test is short. */
    static Script calm(double lengthS, Fault... faults) {
        Script calm = shipped("calm");
        return new Script(
                calm.name(),
                lengthS,
                calm.sites(),
                calm.segments(),
                calm.cells(),
                calm.tableTypes(),
                calm.customers(),
                calm.servers(),
                calm.limits(),
                calm.coldRule(),
                calm.budget(),
                calm.frontLearnsMs(),
                calm.load(),
                List.of(faults),
                new Script.Bands(0));
    }

    /**
     * Returns the calm script with another multiple of a cold server's capacity at which it
     * crashes.
     */
    static Script cold(double multiple) {
        Script calm = calm(10);
        return new Script(
                calm.name(),
                10,
                calm.sites(),
                calm.segments(),
                calm.cells(),
                calm.tableTypes(),
                calm.customers(),
                calm.servers(),
                calm.limits(),
                new Deployment.SlowStartRule(0.2, 5000, multiple, 1000),
                calm.budget(),
                calm.frontLearnsMs(),
                calm.load(),
                List.of(),
                calm.bands());
    }
}
