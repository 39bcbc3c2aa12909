package cloverpulley.dns.wire;

import java.util.Arrays;

/**
 * A question: name, type and class. Names are compared case-insensitively. Immutable and safe for use by several threads as long as nobody
 * modifies the arrays, which are neither copied on construction nor by the accessors.
 */
public final class Question {

  private final byte[] originalName;
  private final byte[] name;
  private final int type;
  private final int dnsClass;
  private final int hash;

  /** {@code originalName} is the uncompressed name in wire format, in the sender's letter case. */
  public Question(byte[] originalName, int type, int dnsClass) {
    this.originalName = originalName;
    this.type = type;
    this.dnsClass = dnsClass;
    name = Names.lower(originalName);
    hash = (Arrays.hashCode(name) * 31 + type) * 31 + dnsClass;
  }

  /** The name in its original letter case. */
  public byte[] originalName() {
    return originalName;
  }

  /** The name in lower case. */
  public byte[] name() {
    return name;
  }

  public int type() {
    return type;
  }

  public int dnsClass() {
    return dnsClass;
  }

  /** The length in wire format, in octets: the name, and two octets each for type and class. */
  public int length() {
    return originalName.length + 4;
  }

  /** Writes the question uncompressed at {@code at} and returns the position after it. */
  public int write(byte[] to, int at) {
    System.arraycopy(originalName, 0, to, at, originalName.length);
    int i = at + originalName.length;
    Message.put16(to, i, type);
    Message.put16(to, i + 2, dnsClass);
    return i + 4;
  }

  /** Whether the names are equal including their letter case (draft-vixie-dnsext-dns0x20); type and class are not compared. */
  public boolean hasSameCase(Question other) {
    return Arrays.equals(originalName, other.originalName);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Question q && hash == q.hash && type == q.type && dnsClass == q.dnsClass && Arrays.equals(name, q.name);
  }

  @Override
  public int hashCode() {
    return hash;
  }

  @Override
  public String toString() {
    return Names.text(originalName) + " type " + type + " class " + dnsClass;
  }
}
