/**
 * The disruption ledger, which all instances of a fleet agree on: permits and disruption budgets, and what instances report and do about
 * them. This package does no I/O: commands and states go in, replies and actions come out. Replication is up to the caller.
 */
package cloverpulley.outs;
