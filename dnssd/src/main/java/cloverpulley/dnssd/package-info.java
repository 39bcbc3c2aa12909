/**
 * Server discovery through DNS-SD (RFC 6763): reads records from several resolvers, passes them to {@code cloverpulley.membership},
 * which decides which servers to use, and provides the resulting list to the frontends. Also registers servers in a zone.
 */
package cloverpulley.dnssd;
