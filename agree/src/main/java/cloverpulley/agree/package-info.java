/**
 * Replication of the disruption ledger: Raft (MicroRaft) between the voters, their journal and transport, the HTTP API for all instances, and
 * the instances' client. The decisions are made in {@code cloverpulley.outs}.
 */
package cloverpulley.agree;
