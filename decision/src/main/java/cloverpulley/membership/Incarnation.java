package cloverpulley.membership;

import cloverpulley.membership.TextKeys.Attributes;

/**
 * One incarnation of an instance, as its records describe it. Equal identities mean the same server process.
 *
 * @param address a numeric IP address
 */
record Incarnation(SrvRecord srv, String address, Attributes attributes) {

  /** Target, port and boot ID or, without one, address: these tell another server under the same name apart. */
  String identity() {
    return srv.target() + ":" + srv.port() + "|" + (attributes.bootId().isEmpty() ? address : attributes.bootId());
  }

  boolean isSame(Incarnation other) {
    // Compares the identities without building the strings.
    return srv.port() == other.srv.port() && srv.target().equals(other.srv.target()) && attributes.bootId().equals(other.attributes.bootId())
        && (!attributes.bootId().isEmpty() || address.equals(other.address));
  }

  /** Whether it started before the other; false unless both report a start time. */
  boolean isOlder(Incarnation other) {
    return attributes.started() > 0 && other.attributes.started() > 0 && attributes.started() < other.attributes.started();
  }

  String addressAndPort() {
    return address + " " + srv.port();
  }
}
