/**
 * Reconstructs an incident from the records of several instances: aligns their clocks, builds one timeline, audits the rules, and reports
 * gaps and unknowns. Pure computation: records in, findings out; no files, clocks or threads. Times are microseconds of Unix time by the
 * clock of the instance that wrote the record, unless a name says otherwise.
 */
package cloverpulley.incident;
