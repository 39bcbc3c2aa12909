package cloverpulley.dns.wire;

import java.util.Arrays;

/** Domain names in their form on the wire (RFC 1035, 3.1 and 4.1.4): length-prefixed labels, at most 63 and 255 octets. */
public final class Names {

  static final int MOST_LABEL = 63;
  public static final int MOST_NAME = 255;
  /** A name of 255 octets has no more labels than that, and so needs no more pointers. */
  private static final int MOST_POINTERS = 127;
  private static final int POINTER = 0xC0;

  private Names() {}

  /**
   * The position after a name that starts at {@code at}, its pointers not followed but checked to go backward.
   *
   * @throws MalformedException where it runs over the end, has a label of an unknown type or points forward
   */
  public static int skip(byte[] b, int at) throws MalformedException {
    int octets = 1;
    for (int i = at; ; ) {
      if (i >= b.length) {
        throw new MalformedException("a name runs over the end");
      }
      int n = b[i] & 0xFF;
      if (n == 0) {
        return i + 1;
      } else if ((n & POINTER) == POINTER) {
        pointer(b, i, at);
        return i + 2;
      } else if (n > MOST_LABEL) {
        throw new MalformedException("a label of an unknown type");
      }
      octets += n + 1;
      if (octets > MOST_NAME) {
        throw new MalformedException("a name over 255 octets");
      }
      i += n + 1;
    }
  }

  /** Where a pointer leads; it has to lead before the name that it is in, which rules out loops. */
  private static int pointer(byte[] b, int i, int before) throws MalformedException {
    if (i + 1 >= b.length) {
      throw new MalformedException("a pointer runs over the end");
    }
    int to = (b[i] & ~POINTER & 0xFF) << 8 | b[i + 1] & 0xFF;
    if (to < Message.HEADER_LENGTH || to >= before) {
      throw new MalformedException("a pointer that does not lead back");
    }
    return to;
  }

  /** The name at {@code at}, whole, its letters as they came. */
  public static byte[] read(byte[] b, int at) throws MalformedException {
    byte[] name = new byte[MOST_NAME];
    int length = 0;
    int pointers = 0;
    int start = at;
    for (int i = at; ; ) {
      if (i >= b.length) {
        throw new MalformedException("a name runs over the end");
      }
      int n = b[i] & 0xFF;
      if ((n & POINTER) == POINTER) {
        i = pointer(b, i, start);
        start = i;
        if (++pointers > MOST_POINTERS) {
          throw new MalformedException("a name of too many pointers");
        }
        continue;
      } else if (n > MOST_LABEL) {
        throw new MalformedException("a label of an unknown type");
      } else if (i + n >= b.length) {
        throw new MalformedException("a label runs over the end");
      } else if (length + n + 1 > MOST_NAME) {
        throw new MalformedException("a name over 255 octets");
      }
      System.arraycopy(b, i, name, length, n + 1);
      length += n + 1;
      if (n == 0) {
        return Arrays.copyOf(name, length);
      }
      i += n + 1;
    }
  }

  /** The name in lower case; ASCII letters only have cases (RFC 4343). Lengths are below 'A' and stay. */
  public static byte[] lower(byte[] name) {
    byte[] lower = name.clone();
    for (int i = 0; i < lower.length; i++) {
      if (lower[i] >= 'A' && lower[i] <= 'Z') {
        lower[i] += 'a' - 'A';
      }
    }
    return lower;
  }

  /** Whether {@code name} is {@code zone} or below it; both in lower case. */
  public static boolean isWithin(byte[] name, byte[] zone) {
    int at = name.length - zone.length;
    if (at < 0 || !Arrays.equals(name, at, name.length, zone, 0, zone.length)) {
      return false;
    }
    int i = 0;
    while (i < at) { // The match has to begin with a label, not within one.
      i += name[i] + 1;
    }
    return i == at;
  }

  /** As text with a dot at its end; octets that are no plain letters as \DDD (RFC 1035, 5.1). */
  public static String text(byte[] name) {
    if (name.length <= 1) {
      return ".";
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; name[i] != 0; i += name[i] + 1) {
      for (int k = i + 1; k <= i + name[i]; k++) {
        int c = name[k] & 0xFF;
        if (c <= ' ' || c >= 127) {
          text.append(String.format("\\%03d", c));
        } else {
          text.append(".\\\"();@$".indexOf(c) >= 0 ? "\\" : "").append((char) c);
        }
      }
      text.append('.');
    }
    return text.toString();
  }

  /** The name that a text of plain labels stands for; null where it is none. */
  public static byte[] of(String text) {
    String bare = text.endsWith(".") ? text.substring(0, text.length() - 1) : text;
    byte[] name = new byte[MOST_NAME];
    int at = 0;
    for (String label : bare.isEmpty() ? new String[0] : bare.split("\\.", -1)) {
      if (label.isEmpty() || label.length() > MOST_LABEL || at + label.length() + 2 > MOST_NAME
          || !label.matches("[A-Za-z0-9_-]+")) {
        return null;
      }
      name[at++] = (byte) label.length();
      for (int i = 0; i < label.length(); i++) {
        name[at++] = (byte) label.charAt(i);
      }
    }
    return Arrays.copyOf(name, at + 1);
  }
}
