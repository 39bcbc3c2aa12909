/**
 * Who may be out: the ledger that all instances of a fleet agree on, its limits, and what an instance does about it. Pure: commands and
 * views in, replies and actions out; whoever replicates the commands in one order has one ledger.
 */
package cloverpulley.outs;
