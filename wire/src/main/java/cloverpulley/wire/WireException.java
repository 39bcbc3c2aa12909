package cloverpulley.wire;

/** Malformed input; the message states what is wrong and, where it is known, in which line. */
public final class WireException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  public WireException(String message) {
    super(message);
  }
}
