package cloverpulley.dns.client;

/**
 * Settings of the DNS client.
 *
 * @param portsPerServer source ports in use at a time for one server
 * @param queriesPerPort queries after which a source port is replaced
 * @param pendingPerPort ids in use at a time on one port, including abandoned ones that may not be reused yet
 * @param maxMismatches mismatched answers after which a query falls back to TCP, as it may be under a spoofing attack (RFC 5452, 9.2)
 * @param udpSize the UDP payload size advertised to servers, in bytes
 * @param connectionsPerServer TCP connections to one server at a time
 * @param pipelined unanswered queries on one connection at a time
 * @param idReuseDelayNanos how long the id of an abandoned query is not reused, so that its answer is recognized as late
 * @param idleTimeoutNanos the time after which a connection without queries is closed
 * @param drainTimeoutNanos the time after which a connection to a draining server is closed even if queries are pending
 * @param mixCase whether the letter case of query names is randomized
 * @param capabilityTtlNanos how long the client remembers that a server doesn't support EDNS or preserve case
 */
public record ClientConfig(int portsPerServer, int queriesPerPort, int pendingPerPort, int maxMismatches, int udpSize,
    int connectionsPerServer, int pipelined, long connectTimeoutNanos, long idReuseDelayNanos, long idleTimeoutNanos, long drainTimeoutNanos,
    boolean mixCase, long capabilityTtlNanos) {}
