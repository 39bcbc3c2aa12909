/** What an operator sees of an incident: report, console and questions; the findings are made in {@code cloverpulley.incident}. */
package cloverpulley.incident.tool;
