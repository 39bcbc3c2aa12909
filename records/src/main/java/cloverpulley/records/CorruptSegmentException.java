package cloverpulley.records;

import java.io.IOException;

/** Thrown if the content of a segment cannot be read: it is truncated, corrupt or of an unsupported version. */
public final class CorruptSegmentException extends IOException {

  private static final long serialVersionUID = 1;

  public CorruptSegmentException(String message) {
    super(message);
  }
}
