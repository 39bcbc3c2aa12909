package cloverpulley.agree;

import cloverpulley.outs.Command;

/** A command with the time of who proposed it, Unix milliseconds: what the log holds. */
record TimestampedCommand(long millis, Command command) {}
