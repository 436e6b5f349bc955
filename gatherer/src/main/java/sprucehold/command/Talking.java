package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import sprucehold.company.Company;
import sprucehold.company.CompanyPlan;
import sprucehold.node.Neighbour;

/** Talk among gatherers; loaded only where an operator has switched it on. */
final class Talking {
    private Talking() {
    }

    static Neighbour.Factory read(Path file) throws IOException {
        CompanyPlan plan = CompanyPlan.read(file);
        return (vertx, config, clock) -> {
            try {
                return new Company(vertx, config, clock, plan);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
            }
        };
    }
}
