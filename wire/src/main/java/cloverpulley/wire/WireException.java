package cloverpulley.wire;

/** Malformed input; the message says what was wrong and, once known, on which line. */
public final class WireException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  public WireException(String message) {
    super(message);
  }
}
