/** The operator's view of an incident: report, console and queries. The analysis itself is in {@code cloverpulley.incident}. */
package cloverpulley.incident.tool;
