package cloverpulley.dns.client;

/**
 * Bounds of the way to the servers.
 *
 * @param portsPerServer source ports in use at one time towards one server
 * @param portUses queries after which a port is let go for a new one
 * @param pendingPerPort ids in use at one time on one port, those given up and not yet forgotten among them
 * @param wrongMost answers that are not the one asked for after which a query goes over to TCP (RFC 5452, 9.2 by detection)
 * @param udpSize what servers are told that can be taken over UDP, in octets
 * @param connectionsPerServer TCP connections to one server at one time
 * @param pipelined queries unanswered on one connection at one time
 * @param lateNanos how long an id that was given up is not used again, for its answer to be known as late
 * @param idleNanos after which a connection without a query is closed
 * @param drainNanos after which a connection to a server that drains is closed whatever is open on it
 * @param mixCase whether the letters' case of questions is drawn
 * @param traitsNanos how long it is believed that a server does not speak EDNS or keep the case
 */
public record ClientConfig(int portsPerServer, int portUses, int pendingPerPort, int wrongMost, int udpSize,
    int connectionsPerServer, int pipelined, long connectNanos, long lateNanos, long idleNanos, long drainNanos,
    boolean mixCase, long traitsNanos) {}
