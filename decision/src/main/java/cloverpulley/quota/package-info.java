/**
 * Nested quotas: who may have how much of an installation, in several dimensions over several windows, with idle share lent and paid back.
 * Pure: clock readings in nanoseconds in, verdicts out; no I/O, threads or randomness.
 */
package cloverpulley.quota;
