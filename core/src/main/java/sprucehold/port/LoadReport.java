package sprucehold.port;

/** What a shard server says of its load; a value it doesn't tell is NaN. */
public record LoadReport(double held, double queued, double busy) {}
