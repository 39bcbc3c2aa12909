package cloverpulley.records;

import java.io.IOException;

/** Octets that are not what was written. */
public final class CorruptSegmentException extends IOException {

  private static final long serialVersionUID = 1;

  public CorruptSegmentException(String what) {
    super(what);
  }
}
