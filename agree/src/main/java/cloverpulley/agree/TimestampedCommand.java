package cloverpulley.agree;

import cloverpulley.outs.Command;

/** An entry of the Raft log: a command with the proposer's time in Unix milliseconds. Written as JSON under the names of its components. */
record TimestampedCommand(long millis, Command command) {}
