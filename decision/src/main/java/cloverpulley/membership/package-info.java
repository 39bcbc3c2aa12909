/**
 * Which servers there are, when those who say so are late, silent, outdated, contradict one another or lie. Pure: observations and
 * a time in, changes of a list out; no sockets, no clock, no threads, and no randomness but a seed.
 *
 * <p>Times are milliseconds of one clock that never steps back and reads about as Unix time does: the reader takes the distance to
 * the wall clock once.
 */
package cloverpulley.membership;
