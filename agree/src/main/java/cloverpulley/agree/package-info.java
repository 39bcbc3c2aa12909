/**
 * The shell of the ledger of outs: Raft (MicroRaft) between its voters, their file and links, the way in for all instances, and what an
 * instance does about it. What is decided is decided in {@code cloverpulley.outs}.
 */
package cloverpulley.agree;
