package cloverpulley.membership;

import cloverpulley.membership.TextKeys.Attributes;

/**
 * One life of an instance: what its records say it is. Two with the same identity are the same server.
 *
 * @param address in figures
 */
record Incarnation(SrvRecord srv, String address, Attributes text) {

  /** Target, port and boot or, without one, address: what another server under the same name differs in. */
  String identity() {
    return srv.target() + ":" + srv.port() + "|" + (text.bootId().isEmpty() ? address : text.bootId());
  }

  boolean isSame(Incarnation other) {
    // As the identities are equal, without making them.
    return srv.port() == other.srv.port() && srv.target().equals(other.srv.target()) && text.bootId().equals(other.text.bootId())
        && (!text.bootId().isEmpty() || address.equals(other.address));
  }

  /** Whether it has started before the other, as far as both say when. */
  boolean isOlder(Incarnation other) {
    return text.started() > 0 && other.text.started() > 0 && text.started() < other.text.started();
  }

  String addressAndPort() {
    return address + " " + srv.port();
  }
}
