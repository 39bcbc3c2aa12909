/** Quotas in service: the operators' file, the journal that a restart reads, the rate limit service; decisions are in {@code cloverpulley.quota}. */
package cloverpulley.quota.service;
