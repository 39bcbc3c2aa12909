package cloverpulley.discovery;

import cloverpulley.wire.WireException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a byte stream into JSON objects (RFC 8259) by their braces, regardless of line breaks: lists may be indented, and the last one may
 * lack a newline. The contents of an object are left to a JSON parser.
 */
final class ObjectReader {

  private final int maxBytes;
  private final ByteArrayOutputStream object = new ByteArrayOutputStream();
  private int depth;
  private boolean insideString;
  private boolean escaped;
  private long count;

  /** {@code maxBytes} is the maximum length of an object. */
  ObjectReader(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Adds the next byte; returns the object that it completes, or null. Throws a {@link WireException} for a byte that starts no object, and for
   * an object that is too long.
   */
  String add(byte next) {
    if (depth == 0 && next != '{') {
      if (next != ' ' && next != '\n' && next != '\r' && next != '\t') {
        throw new WireException("malformed answer: expected an object");
      }
      return null;
    }
    object.write(next);
    if (object.size() > maxBytes) {
      throw new WireException("answer too long");
    }
    if (insideString) {
      insideString = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else if (next == '"') {
      insideString = true;
    } else if (next == '{') {
      depth++;
    } else if (next == '}' && --depth == 0) {
      count++;
      String json = object.toString(StandardCharsets.UTF_8);
      object.reset();
      return json;
    }
    return null;
  }

  /** Whether an object has started and is not complete. */
  boolean isInside() {
    return depth > 0;
  }

  /** Objects completed so far. */
  long count() {
    return count;
  }
}
