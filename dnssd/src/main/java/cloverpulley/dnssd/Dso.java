package cloverpulley.dnssd;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.Name;

/** Messages of a stateful session (RFC 8490, 5.4) and of push (RFC 8765, 6), made and read. */
final class Dso {

  static final int OPCODE = 6;
  static final int KEEPALIVE = 0x0001;
  static final int RETRY_DELAY = 0x0002;
  static final int PADDING = 0x0003;
  static final int SUBSCRIBE = 0x0040;
  static final int PUSH = 0x0041;
  static final int UNSUBSCRIBE = 0x0042;
  /** A response code: the primary TLV is of a type that the other does not implement. */
  static final int DSOTYPENI = 11;

  private static final int TLV = Message.HEADER_LENGTH;
  private static final int FIXED = 10;
  private static final long REMOVE_ONE = 0xFFFF_FFFFL;
  private static final long REMOVE_ALL = 0xFFFF_FFFEL;
  /** Changes in one message; with the least record of 11 octets no message holds more. */
  private static final int MOST_CHANGES = 6000;

  /**
   * A message that was read.
   *
   * @param id 0 for one that wants no answer
   * @param type of its primary TLV; -1 for an answer without one
   */
  record Read(int id, boolean response, int rcode, int type, byte[] value, byte[] octets) {}

  /**
   * A change that a server pushes.
   *
   * @param type 255 for all of the name's
   * @param target of a pointer; null for others
   * @param strings of a text
   */
  record PushedRecord(String name, int type, boolean removed, String target, List<byte[]> strings) {}

  private Dso() {}

  /** A request, or with id 0 a message that wants no answer. */
  static byte[] message(int id, int type, byte[] value) {
    byte[] to = new byte[TLV + 4 + value.length];
    Message.put16(to, 0, id);
    to[2] = OPCODE << 3;
    Message.put16(to, TLV, type);
    Message.put16(to, TLV + 2, value.length);
    System.arraycopy(value, 0, to, TLV + 4, value.length);
    return to;
  }

  /** An answer without a TLV. */
  static byte[] answer(int id, int rcode) {
    byte[] to = new byte[TLV];
    Message.put16(to, 0, id);
    to[2] = (byte) (0x80 | OPCODE << 3);
    to[3] = (byte) rcode;
    return to;
  }

  /** What is subscribed to, or no more. */
  static byte[] question(String name, int type) {
    byte[] wire;
    try {
      wire = Name.fromString(name).toWire();
    } catch (org.xbill.DNS.TextParseException e) {
      throw new IllegalArgumentException(e);
    }
    byte[] to = new byte[wire.length + 4];
    System.arraycopy(wire, 0, to, 0, wire.length);
    Message.put16(to, wire.length, type);
    Message.put16(to, wire.length + 2, Message.IN);
    return to;
  }

  /** Two times in milliseconds: after which the session may be closed, and how often it has to be heard of. */
  static byte[] keepalive(long inactivity, long interval) {
    byte[] to = new byte[8];
    Message.put32(to, 0, inactivity);
    Message.put32(to, 4, interval);
    return to;
  }

  /**
   * Reads a message.
   *
   * @throws MalformedException where it is none of a session, counts records, or its TLVs run over its end
   */
  static Read read(byte[] b) throws MalformedException {
    if (b.length < Message.HEADER_LENGTH || Message.opcode(b) != OPCODE) {
      throw new MalformedException("no message of a session");
    }
    for (int at = 4; at < Message.HEADER_LENGTH; at += 2) {
      if (Message.get16(b, at) != 0) {
        throw new MalformedException("a message of a session that counts records"); // RFC 8490, 5.4
      }
    }
    int type = -1;
    byte[] value = new byte[0];
    for (int at = TLV; at < b.length; ) {
      if (at + 4 > b.length || at + 4 + Message.get16(b, at + 2) > b.length) {
        throw new MalformedException("a TLV runs over the end");
      }
      int end = at + 4 + Message.get16(b, at + 2);
      if (type < 0) {
        type = Message.get16(b, at);
        value = java.util.Arrays.copyOfRange(b, at + 4, end);
      }
      at = end;
    }
    return new Read(Message.get16(b, 0), Message.isResponse(b), b[3] & 0xF, type, value, b);
  }

  /** A number of 32 bits. */
  static long get32(byte[] b, int at) throws MalformedException {
    if (at + 4 > b.length) {
      throw new MalformedException("shorter than its number");
    }
    return (long) Message.get16(b, at) << 16 | Message.get16(b, at + 2);
  }

  /** The changes of a push; its names may be compressed against the whole message. */
  static List<PushedRecord> changes(Read push) throws MalformedException {
    byte[] b = push.octets();
    List<PushedRecord> changes = new ArrayList<>();
    int end = TLV + 4 + push.value().length;
    int at = TLV + 4;
    while (at < end) {
      byte[] owner = Names.read(b, at);
      int fixed = Names.skip(b, at);
      if (fixed + FIXED > end || fixed + FIXED + Message.get16(b, fixed + 8) > end || changes.size() == MOST_CHANGES) {
        throw new MalformedException("a change runs over the end");
      }
      int type = Message.get16(b, fixed);
      long ttl = get32(b, fixed + 4);
      int data = fixed + FIXED;
      int dataEnd = data + Message.get16(b, fixed + 8);
      String target = null;
      List<byte[]> strings = new ArrayList<>();
      if (type == org.xbill.DNS.Type.PTR && dataEnd > data) {
        target = text(Names.read(b, data));
        if (Names.skip(b, data) != dataEnd) {
          throw new MalformedException("a pointer's data does not fill its length");
        }
      } else if (type == org.xbill.DNS.Type.TXT) {
        for (int i = data; i < dataEnd; i += 1 + (b[i] & 0xFF)) {
          if (i + 1 + (b[i] & 0xFF) > dataEnd) {
            throw new MalformedException("a text runs over its record");
          }
          strings.add(java.util.Arrays.copyOfRange(b, i + 1, i + 1 + (b[i] & 0xFF)));
        }
      }
      changes.add(new PushedRecord(text(owner), type, ttl == REMOVE_ONE || ttl == REMOVE_ALL, target, strings));
      at = dataEnd;
    }
    return changes;
  }

  private static String text(byte[] name) throws MalformedException {
    try {
      return DnsSdConfig.text(new Name(name));
    } catch (java.io.IOException e) {
      throw new MalformedException(e.getMessage());
    }
  }

  /** One record of a push, uncompressed; for servers. */
  static byte[] change(String name, int type, boolean removed, byte[] data) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(question(name, type));
    byte[] rest = new byte[6];
    Message.put32(rest, 0, removed ? data.length == 0 ? REMOVE_ALL : REMOVE_ONE : 10);
    Message.put16(rest, 4, data.length);
    out.writeBytes(rest);
    out.writeBytes(data);
    return out.toByteArray();
  }
}
