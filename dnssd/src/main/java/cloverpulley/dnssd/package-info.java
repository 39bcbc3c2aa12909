/**
 * Servers found through DNS-SD (RFC 6763): records are read from several resolvers, what they say is decided on by
 * {@code cloverpulley.membership}, and the list goes to whichever front asks for it. Nothing is decided here.
 */
package cloverpulley.dnssd;
