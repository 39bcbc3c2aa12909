package cloverpulley.agree;

import io.microraft.RaftEndpoint;

/** A voter as a Raft endpoint, identified by its name. */
record Peer(String name) implements RaftEndpoint {

  @Override
  public Object getId() {
    return name;
  }
}
