package cloverpulley.dns.wire;

/** Thrown for malformed DNS messages. Has no stack trace, so that invalid input from attackers stays cheap to reject. */
public final class MalformedException extends Exception {

  private static final long serialVersionUID = 1;

  public MalformedException(String what) {
    super(what, null, false, false);
  }
}
