package cloverpulley.dnssd;

/** A set of records that is queried periodically, all of them together. */
record RefreshKey(Kind kind, String name) {

  enum Kind {
    /** The SOA serial of a zone. */
    SERIAL,
    /** The PTR records that list a service's instances. */
    BROWSE,
    /** The SRV and TXT records of an instance. */
    INSTANCE,
    /** The A and AAAA records of a target. */
    TARGET
  }

  static RefreshKey serial(String zone) {
    return new RefreshKey(Kind.SERIAL, zone);
  }

  static RefreshKey browse(String name) {
    return new RefreshKey(Kind.BROWSE, name);
  }

  static RefreshKey instance(String name) {
    return new RefreshKey(Kind.INSTANCE, name);
  }

  static RefreshKey target(String name) {
    return new RefreshKey(Kind.TARGET, name);
  }
}
