/**
 * What happened, out of the records of several instances: clocks brought together, one course, rules audited, gaps and unknowns said.
 * Pure: records in, findings out; no files, clocks or threads. Times are microseconds of Unix time by the clock of whoever wrote the
 * record, unless a name says otherwise.
 */
package cloverpulley.incident;
