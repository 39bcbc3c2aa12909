package cloverpulley.dnssd;

/** Something that a resolver is asked again and again; its parts are asked together. */
record RefreshKey(Kind kind, String name) {

  enum Kind {
    /** The serial of a zone. */
    SERIAL,
    /** The list of a service's instances. */
    BROWSE,
    /** An instance's service and text records. */
    INSTANCE,
    /** A target's addresses, of both families. */
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
