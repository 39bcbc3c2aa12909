package cloverpulley.dns.wire;

import java.util.Arrays;

/** Domain names in wire format (RFC 1035, 3.1 and 4.1.4): length-prefixed labels of at most 63 octets, 255 octets in all. */
public final class Names {

  static final int MAX_LABEL_LENGTH = 63;
  public static final int MAX_NAME_LENGTH = 255;
  /** The maximum number of labels in a name of 255 octets, so a valid name needs no more pointers. */
  private static final int MAX_POINTERS = 127;
  private static final int POINTER = 0xC0;

  private Names() {}

  /**
   * The position after the name at {@code at}. Pointers are not followed, but checked to point backward.
   *
   * @throws MalformedException if the name runs past the end, has a label of an unknown type or points forward
   */
  public static int skip(byte[] b, int at) throws MalformedException {
    int octets = 1;
    for (int i = at; ; ) {
      if (i >= b.length) {
        throw new MalformedException("name extends past the end of the message");
      }
      int n = b[i] & 0xFF;
      if (n == 0) {
        return i + 1;
      } else if ((n & POINTER) == POINTER) {
        readPointer(b, i, at);
        return i + 2;
      } else if (n > MAX_LABEL_LENGTH) {
        throw new MalformedException("unknown label type");
      }
      octets += n + 1;
      if (octets > MAX_NAME_LENGTH) {
        throw new MalformedException("name longer than 255 octets");
      }
      i += n + 1;
    }
  }

  /** The target of a pointer, which must be before the name that contains it; this rules out loops. */
  private static int readPointer(byte[] b, int i, int before) throws MalformedException {
    if (i + 1 >= b.length) {
      throw new MalformedException("pointer extends past the end of the message");
    }
    int to = (b[i] & ~POINTER & 0xFF) << 8 | b[i + 1] & 0xFF;
    if (to < Message.HEADER_LENGTH || to >= before) {
      throw new MalformedException("pointer does not point backward");
    }
    return to;
  }

  /** The uncompressed name at {@code at}, with its original letter case. */
  public static byte[] read(byte[] b, int at) throws MalformedException {
    byte[] name = new byte[MAX_NAME_LENGTH];
    int length = 0;
    int pointers = 0;
    int start = at;
    for (int i = at; ; ) {
      if (i >= b.length) {
        throw new MalformedException("name extends past the end of the message");
      }
      int n = b[i] & 0xFF;
      if ((n & POINTER) == POINTER) {
        i = readPointer(b, i, start);
        start = i;
        if (++pointers > MAX_POINTERS) {
          throw new MalformedException("too many pointers in a name");
        }
        continue;
      } else if (n > MAX_LABEL_LENGTH) {
        throw new MalformedException("unknown label type");
      } else if (i + n >= b.length) {
        throw new MalformedException("label extends past the end of the message");
      } else if (length + n + 1 > MAX_NAME_LENGTH) {
        throw new MalformedException("name longer than 255 octets");
      }
      System.arraycopy(b, i, name, length, n + 1);
      length += n + 1;
      if (n == 0) {
        return Arrays.copyOf(name, length);
      }
      i += n + 1;
    }
  }

  /** The name in lower case, for ASCII letters only (RFC 4343). Length octets are below 'A' and not affected. */
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
    while (i < at) { // The match must begin at a label boundary.
      i += name[i] + 1;
    }
    return i == at;
  }

  /** The presentation format with a trailing dot; non-printable octets as \DDD (RFC 1035, 5.1). */
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

  /** Parses a name of letters, digits, hyphens and underscores; null if it is invalid. */
  public static byte[] of(String text) {
    String bare = text.endsWith(".") ? text.substring(0, text.length() - 1) : text;
    byte[] name = new byte[MAX_NAME_LENGTH];
    int at = 0;
    for (String label : bare.isEmpty() ? new String[0] : bare.split("\\.", -1)) {
      if (label.isEmpty() || label.length() > MAX_LABEL_LENGTH || at + label.length() + 2 > MAX_NAME_LENGTH
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
