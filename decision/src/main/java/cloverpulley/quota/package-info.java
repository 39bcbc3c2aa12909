/**
 * Hierarchical quotas of an installation, in several dimensions over several windows; idle share is lent and paid back. Pure logic: clock
 * readings in nanoseconds in, decisions out; no I/O, threads or randomness.
 */
package cloverpulley.quota;
