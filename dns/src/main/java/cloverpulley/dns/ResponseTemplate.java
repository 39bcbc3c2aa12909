package cloverpulley.dns;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import java.io.IOException;
import java.util.Arrays;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * An answer without its OPT record, as it can be given to any client: octets as the server wrote them, with the places that differ
 * by client and by age.
 *
 * @param octets header, question and records
 * @param ttls where the TTLs are
 * @param authorityEnd where the authority section ends: what comes after may be left out
 */
record ResponseTemplate(byte[] octets, int[] ttls, int authorityEnd, int questionEnd, int rcode) {

  /** What a kept one takes beside its octets: objects, entry, question. */
  private static final int OVERHEAD = 400;

  /** Of a message that has been read; its OPT record is left out. */
  static ResponseTemplate of(Message m) throws MalformedException {
    if (m.edns() == null) {
      return new ResponseTemplate(m.bytes(), m.ttls(), m.end(1), m.questionEnd(), m.rcode());
    } else if (!m.isOptLast()) {
      return of(rebuilt(m));
    }
    byte[] octets = Arrays.copyOf(m.bytes(), m.edns().at());
    Message.put16(octets, 10, m.additionals() - 1);
    return new ResponseTemplate(octets, m.ttls(), m.end(1), m.questionEnd(), m.rcode());
  }

  /** Records after OPT may point to names behind it: the message is written anew without it. */
  private static Message rebuilt(Message m) throws MalformedException {
    try {
      org.xbill.DNS.Message parsed = new org.xbill.DNS.Message(m.bytes());
      for (Record r : parsed.getSection(Section.ADDITIONAL)) {
        if (r.getType() == org.xbill.DNS.Type.OPT) {
          parsed.removeRecord(r, Section.ADDITIONAL);
        }
      }
      return Message.read(parsed.toWire());
    } catch (IOException e) {
      throw new MalformedException("a record that can't be read: " + e.getMessage());
    }
  }

  /** Octets that it takes when it is kept. */
  int weight() {
    return OVERHEAD + octets.length + 4 * ttls.length;
  }

  int flags() {
    return Message.get16(octets, 2);
  }

  /** TTLs before {@code end} for so many seconds of age, at most this. */
  void writeTtls(byte[] to, int end, long age, long most) {
    for (int at : ttls) {
      if (at >= end) {
        return;
      }
      long ttl = (long) Message.get16(octets, at) << 16 | Message.get16(octets, at + 2);
      ttl = ttl > Integer.MAX_VALUE ? 0 : ttl;
      Message.put32(to, at, Math.min(most, Math.max(0, ttl - age)));
    }
  }
}
