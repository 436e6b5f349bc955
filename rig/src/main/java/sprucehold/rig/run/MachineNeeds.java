package sprucehold.rig.run;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sprucehold.rig.script.Script;

/**
 * Resources that a run needs of its machine, checked before anything is started.
 *
 * @param descriptors open files and sockets of the rig's own process
 * @param memoryMb memory of all processes together, in MiB
 */
record MachineNeeds(long descriptors, long memoryMb) {
    /**
     * Memory of a gatherer, in MiB. The rig measures 89 to 95 MB under load; the rest is a reserve.
     */
    private static final long GATHERER_MB = 100;

    private static final long RIG_MB = 512;

    /** Memory of a listener or connection in the rig for buffers and objects, in KiB. */
    private static final double SOCKET_KB = 16;

    /** Descriptors for the clients' connections, logs and libraries. */
    private static final long OTHER_DESCRIPTORS = 2000;

    private static final Pattern AVAILABLE = Pattern.compile("MemAvailable:\\s+(\\d+) kB");

    /**
     * Resources of a machine.
     *
     * @param descriptors maximum number of descriptors of the rig's process
     * @param memoryMb available memory, in MiB
     */
    record Machine(long descriptors, long memoryMb) {
        /**
         * Returns the resources of this machine. A value that can't be read counts as unlimited.
         */
        static Machine here() {
            long descriptors =
                    ManagementFactory.getOperatingSystemMXBean()
                                    instanceof UnixOperatingSystemMXBean unix
                            ? unix.getMaxFileDescriptorCount()
                            : Long.MAX_VALUE;
            return new Machine(descriptors, availableMb());
        }

        private static long availableMb() {
            try {
                Matcher line = AVAILABLE.matcher(Files.readString(Path.of("/proc/meminfo")));
                return line.find() ? Long.parseLong(line.group(1)) / 1024 : Long.MAX_VALUE;
            } catch (IOException e) {
                return Long.MAX_VALUE;
            }
        }
    }

    /**
     * Returns the needs of a script. Each server has a separate listener for each gatherer, and
     * each gatherer may keep a connection open to each server.
     */
    static MachineNeeds of(Script script) {
        long gatherers = script.sites().stream().mapToLong(Script.Site::gatherers).sum();
        long servers =
                script.sites().stream()
                        .mapToLong(site -> (long) site.holders() * script.cells())
                        .sum();
        long relays = script.together() == null ? 0 : 2 * gatherers * (gatherers - 1);
        long sockets = 2 * gatherers * servers + relays;
        return new MachineNeeds(
                sockets + OTHER_DESCRIPTORS,
                gatherers * GATHERER_MB + RIG_MB + (long) (sockets * SOCKET_KB / 1024));
    }

    /** Returns one line that names the resources that the machine lacks; empty if it has enough. */
    Optional<String> lackingOn(Machine machine) {
        var lacking = new ArrayList<String>();
        if (descriptors > machine.descriptors) {
            lacking.add(
                    String.format(
                            Locale.ROOT,
                            "%d open files and sockets (%d are allowed)",
                            descriptors,
                            machine.descriptors));
        }
        if (memoryMb > machine.memoryMb) {
            lacking.add(
                    String.format(
                            Locale.ROOT,
                            "%d MiB of memory (%d are available)",
                            memoryMb,
                            machine.memoryMb));
        }
        return lacking.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        "this machine lacks what the script needs: "
                                + String.join(" and ", lacking));
    }
}
