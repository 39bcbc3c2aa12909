package cloverpulley.dns;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import java.io.IOException;
import java.util.Arrays;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * A response without its OPT record, as received from the server, with the offsets of the fields to patch for a client and for the
 * age of the response.
 *
 * @param octets the header, question and records
 * @param ttls the offsets of the TTLs
 * @param authorityEnd the end of the authority section; what follows may be left out
 */
record ResponseTemplate(byte[] octets, int[] ttls, int authorityEnd, int questionEnd, int rcode) {

  /** The estimated overhead of a cached response in bytes: objects, cache entry, question. */
  private static final int OVERHEAD = 400;

  /** Creates a template from a parsed message, without its OPT record. */
  static ResponseTemplate of(Message m) throws MalformedException {
    if (m.edns() == null) {
      return new ResponseTemplate(m.bytes(), m.ttls(), m.end(1), m.questionEnd(), m.rcode());
    } else if (!m.isOptLast()) {
      return of(withoutOpt(m));
    }
    byte[] octets = Arrays.copyOf(m.bytes(), m.edns().at());
    Message.put16(octets, 10, m.additionals() - 1);
    return new ResponseTemplate(octets, m.ttls(), m.end(1), m.questionEnd(), m.rcode());
  }

  /** Serializes the message again without OPT, because compressed names in records after it may point past it. */
  private static Message withoutOpt(Message m) throws MalformedException {
    try {
      org.xbill.DNS.Message parsed = new org.xbill.DNS.Message(m.bytes());
      for (Record r : parsed.getSection(Section.ADDITIONAL)) {
        if (r.getType() == org.xbill.DNS.Type.OPT) {
          parsed.removeRecord(r, Section.ADDITIONAL);
        }
      }
      return Message.read(parsed.toWire());
    } catch (IOException e) {
      throw new MalformedException("unreadable record: " + e.getMessage());
    }
  }

  /** The estimated size in the cache, in bytes. */
  int weight() {
    return OVERHEAD + octets.length + 4 * ttls.length;
  }

  int flags() {
    return Message.get16(octets, 2);
  }

  /** Writes the TTLs before {@code end}, decremented by the age in seconds and capped at {@code maxTtl}. */
  void writeTtls(byte[] to, int end, long age, long maxTtl) {
    for (int at : ttls) {
      if (at >= end) {
        return;
      }
      long ttl = (long) Message.get16(octets, at) << 16 | Message.get16(octets, at + 2);
      ttl = ttl > Integer.MAX_VALUE ? 0 : ttl;
      Message.put32(to, at, Math.min(maxTtl, Math.max(0, ttl - age)));
    }
  }
}
