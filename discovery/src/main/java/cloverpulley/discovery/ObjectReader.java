package cloverpulley.discovery;

import cloverpulley.wire.WireException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Finds the JSON objects (RFC 8259) in a stream of octets by their braces, wherever their lines end: lists may come indented, and the last
 * may be whole without a line's end behind it. What is inside of an object is for a parser to judge.
 */
final class ObjectReader {

  private final int most;
  private final ByteArrayOutputStream object = new ByteArrayOutputStream();
  private int depth;
  private boolean quoted;
  private boolean escaped;
  private long count;

  /** {@code most} octets an object may have at most. */
  ObjectReader(int most) {
    this.most = most;
  }

  /**
   * Takes the next octet; the object whose last one it is, or null. Throws a {@link WireException} for what begins no object, and for an
   * object that is too long.
   */
  String add(byte octet) {
    if (depth == 0 && octet != '{') {
      if (octet != ' ' && octet != '\n' && octet != '\r' && octet != '\t') {
        throw new WireException("malformed answer: expected an object");
      }
      return null;
    }
    object.write(octet);
    if (object.size() > most) {
      throw new WireException("answer too long");
    }
    if (quoted) {
      quoted = escaped || octet != '"';
      escaped = !escaped && octet == '\\';
    } else if (octet == '"') {
      quoted = true;
    } else if (octet == '{') {
      depth++;
    } else if (octet == '}' && --depth == 0) {
      count++;
      String whole = object.toString(StandardCharsets.UTF_8);
      object.reset();
      return whole;
    }
    return null;
  }

  /** Whether an object has begun that is not whole. */
  boolean isInside() {
    return depth > 0;
  }

  /** Objects that were whole so far. */
  long count() {
    return count;
  }
}
