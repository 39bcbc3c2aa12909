package cloverpulley.dnssd;

/** Something that a resolver is asked again and again; its parts are asked together. */
record Key(Kind kind, String name) {

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

  static Key serial(String zone) {
    return new Key(Kind.SERIAL, zone);
  }

  static Key browse(String name) {
    return new Key(Kind.BROWSE, name);
  }

  static Key instance(String name) {
    return new Key(Kind.INSTANCE, name);
  }

  static Key target(String name) {
    return new Key(Kind.TARGET, name);
  }
}
