/**
 * Member discovery through DNS-SD resolvers that may be late, unresponsive, outdated, contradictory or malicious. Pure: observations and
 * clock readings in, changes of the member list out; no sockets, clock or threads, and randomness only from a seed.
 *
 * <p>Times are milliseconds of a monotonic clock close to Unix time: the reader determines the offset to the wall clock once, at start.
 */
package cloverpulley.membership;
