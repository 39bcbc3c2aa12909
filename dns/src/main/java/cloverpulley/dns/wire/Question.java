package cloverpulley.dns.wire;

import java.util.Arrays;

/** What is asked: a name, a type and a class. Names are compared without their case. */
public final class Question {

  private final byte[] asked;
  private final byte[] name;
  private final int type;
  private final int dnsClass;
  private final int hash;

  /** {@code asked} is the name on the wire, whole, its letters as the asker wrote them. */
  public Question(byte[] asked, int type, int dnsClass) {
    this.asked = asked;
    this.type = type;
    this.dnsClass = dnsClass;
    name = Names.lower(asked);
    hash = (Arrays.hashCode(name) * 31 + type) * 31 + dnsClass;
  }

  /** The name as it was written. */
  public byte[] asked() {
    return asked;
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

  /** Octets that it takes in a message. */
  public int length() {
    return asked.length + 4;
  }

  /** Writes it; the position after it. */
  public int write(byte[] to, int at) {
    System.arraycopy(asked, 0, to, at, asked.length);
    int i = at + asked.length;
    Message.put16(to, i, type);
    Message.put16(to, i + 2, dnsClass);
    return i + 4;
  }

  /** Whether the other asks the same with the same letters (draft-vixie-dnsext-dns0x20). */
  public boolean hasCaseOf(Question other) {
    return Arrays.equals(asked, other.asked);
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
    return Names.text(asked) + " type " + type + " class " + dnsClass;
  }
}
