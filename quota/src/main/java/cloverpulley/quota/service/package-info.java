/** Quotas as a service: settings, journal, leases and the rate limit service. The decisions are made in {@code cloverpulley.quota}. */
package cloverpulley.quota.service;
