package cloverpulley.records;

import java.io.IOException;

/** Octets that are not what was written. */
public final class SpoiltException extends IOException {

  private static final long serialVersionUID = 1;

  public SpoiltException(String what) {
    super(what);
  }
}
