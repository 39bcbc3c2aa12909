package cloverpulley.dns.wire;

/** Bytes that are no DNS message. It carries no stack: hostile bytes are no event worth one. */
public final class MalformedException extends Exception {

  private static final long serialVersionUID = 1;

  public MalformedException(String what) {
    super(what, null, false, false);
  }
}
