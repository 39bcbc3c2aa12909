package cloverpulley.dnssd;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.Name;

/** Encodes and decodes DNS Stateful Operations messages (RFC 8490, 5.4), including those of DNS push (RFC 8765, 6). */
final class Dso {

  static final int OPCODE = 6;
  static final int KEEPALIVE = 0x0001;
  static final int RETRY_DELAY = 0x0002;
  static final int PADDING = 0x0003;
  static final int SUBSCRIBE = 0x0040;
  static final int PUSH = 0x0041;
  static final int UNSUBSCRIBE = 0x0042;
  /** A response code: the receiver does not implement the type of the primary TLV. */
  static final int DSOTYPENI = 11;

  private static final int TLV_OFFSET = Message.HEADER_LENGTH;
  private static final int FIELDS_LENGTH = 10;
  private static final long REMOVE_ONE = 0xFFFF_FFFFL;
  private static final long REMOVE_ALL = 0xFFFF_FFFEL;
  /** Changes per message; the smallest record has 11 octets, so no valid message holds more. */
  private static final int MAX_CHANGES = 6000;

  /**
   * A decoded message.
   *
   * @param id 0 for a unidirectional message
   * @param type of the primary TLV; -1 for a response without one
   */
  record DsoMessage(int id, boolean response, int rcode, int type, byte[] value, byte[] bytes) {}

  /**
   * A change pushed by a server.
   *
   * @param type 255 if all records of the name were removed
   * @param target of a PTR record; null for other types
   * @param strings of a TXT record; empty for other types
   */
  record PushedRecord(String name, int type, boolean removed, String target, List<byte[]> strings) {}

  private Dso() {}

  /** Encodes a request, or a unidirectional message if the id is 0. */
  static byte[] message(int id, int type, byte[] value) {
    byte[] buffer = new byte[TLV_OFFSET + 4 + value.length];
    Message.put16(buffer, 0, id);
    buffer[2] = OPCODE << 3;
    Message.put16(buffer, TLV_OFFSET, type);
    Message.put16(buffer, TLV_OFFSET + 2, value.length);
    System.arraycopy(value, 0, buffer, TLV_OFFSET + 4, value.length);
    return buffer;
  }

  /** Encodes a response without a TLV. */
  static byte[] answer(int id, int rcode) {
    byte[] buffer = new byte[TLV_OFFSET];
    Message.put16(buffer, 0, id);
    buffer[2] = (byte) (0x80 | OPCODE << 3);
    buffer[3] = (byte) rcode;
    return buffer;
  }

  /** Encodes the name, type and class of a subscription. */
  static byte[] question(String name, int type) {
    byte[] wire;
    try {
      wire = Name.fromString(name).toWire();
    } catch (org.xbill.DNS.TextParseException e) {
      throw new IllegalArgumentException(e);
    }
    byte[] buffer = new byte[wire.length + 4];
    System.arraycopy(wire, 0, buffer, 0, wire.length);
    Message.put16(buffer, wire.length, type);
    Message.put16(buffer, wire.length + 2, Message.IN);
    return buffer;
  }

  /** Encodes the inactivity timeout and the keepalive interval, both in milliseconds. */
  static byte[] keepalive(long inactivity, long interval) {
    byte[] buffer = new byte[8];
    Message.put32(buffer, 0, inactivity);
    Message.put32(buffer, 4, interval);
    return buffer;
  }

  /**
   * Decodes a message.
   *
   * @throws MalformedException if it is not a DSO message, a record count is not zero, or a TLV exceeds the message
   */
  static DsoMessage read(byte[] bytes) throws MalformedException {
    if (bytes.length < Message.HEADER_LENGTH || Message.opcode(bytes) != OPCODE) {
      throw new MalformedException("not a DSO message");
    }
    for (int offset = 4; offset < Message.HEADER_LENGTH; offset += 2) {
      if (Message.get16(bytes, offset) != 0) {
        throw new MalformedException("DSO message with a record count other than zero"); // RFC 8490, 5.4
      }
    }
    int type = -1;
    byte[] value = new byte[0];
    for (int offset = TLV_OFFSET; offset < bytes.length; ) {
      if (offset + 4 > bytes.length || offset + 4 + Message.get16(bytes, offset + 2) > bytes.length) {
        throw new MalformedException("TLV exceeds the message");
      }
      int end = offset + 4 + Message.get16(bytes, offset + 2);
      if (type < 0) {
        type = Message.get16(bytes, offset);
        value = java.util.Arrays.copyOfRange(bytes, offset + 4, end);
      }
      offset = end;
    }
    return new DsoMessage(Message.get16(bytes, 0), Message.isResponse(bytes), bytes[3] & 0xF, type, value, bytes);
  }

  /** Reads an unsigned 32-bit number. */
  static long get32(byte[] bytes, int offset) throws MalformedException {
    if (offset + 4 > bytes.length) {
      throw new MalformedException("too short for a 32-bit number");
    }
    return (long) Message.get16(bytes, offset) << 16 | Message.get16(bytes, offset + 2);
  }

  /** Decodes the changes of a push message; names may be compressed with pointers into the whole message. */
  static List<PushedRecord> changes(DsoMessage push) throws MalformedException {
    byte[] bytes = push.bytes();
    List<PushedRecord> changes = new ArrayList<>();
    int end = TLV_OFFSET + 4 + push.value().length;
    int offset = TLV_OFFSET + 4;
    while (offset < end) {
      byte[] owner = Names.read(bytes, offset);
      int fields = Names.skip(bytes, offset);
      if (fields + FIELDS_LENGTH > end || fields + FIELDS_LENGTH + Message.get16(bytes, fields + 8) > end
          || changes.size() == MAX_CHANGES) {
        throw new MalformedException("change exceeds the message");
      }
      int type = Message.get16(bytes, fields);
      long ttl = get32(bytes, fields + 4);
      int data = fields + FIELDS_LENGTH;
      int dataEnd = data + Message.get16(bytes, fields + 8);
      String target = null;
      List<byte[]> strings = new ArrayList<>();
      if (type == org.xbill.DNS.Type.PTR && dataEnd > data) {
        target = canonicalName(Names.read(bytes, data));
        if (Names.skip(bytes, data) != dataEnd) {
          throw new MalformedException("PTR data does not match its length");
        }
      } else if (type == org.xbill.DNS.Type.TXT) {
        for (int i = data; i < dataEnd; i += 1 + (bytes[i] & 0xFF)) {
          if (i + 1 + (bytes[i] & 0xFF) > dataEnd) {
            throw new MalformedException("TXT string exceeds its record");
          }
          strings.add(java.util.Arrays.copyOfRange(bytes, i + 1, i + 1 + (bytes[i] & 0xFF)));
        }
      }
      changes.add(new PushedRecord(canonicalName(owner), type, ttl == REMOVE_ONE || ttl == REMOVE_ALL, target, strings));
      offset = dataEnd;
    }
    return changes;
  }

  private static String canonicalName(byte[] name) throws MalformedException {
    try {
      return DnsSdConfig.canonicalName(new Name(name));
    } catch (java.io.IOException e) {
      throw new MalformedException(e.getMessage());
    }
  }

  /** Encodes one change of a push message without compression, as a server sends it. */
  static byte[] change(String name, int type, boolean removed, byte[] data) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(question(name, type));
    byte[] ttlAndLength = new byte[6];
    Message.put32(ttlAndLength, 0, removed ? data.length == 0 ? REMOVE_ALL : REMOVE_ONE : 10);
    Message.put16(ttlAndLength, 4, data.length);
    out.writeBytes(ttlAndLength);
    out.writeBytes(data);
    return out.toByteArray();
  }
}
