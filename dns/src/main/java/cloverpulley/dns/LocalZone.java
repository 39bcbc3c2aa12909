package cloverpulley.dns;

import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import cloverpulley.dns.wire.Question;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Name;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.SetResponse;
import org.xbill.DNS.Type;
import org.xbill.DNS.Zone;

/** A zone that is answered locally (RFC 1034, 4.3.2). Answers are cached until the zone changes. */
final class LocalZone {

  private static final int MAX_CACHED_ANSWERS = 2000;
  private static final int MAX_ALIASES = 8;
  /** Larger record sets get no additional records: the answer would not fit in a datagram anyway. */
  private static final int MAX_ADDITIONAL = 40;

  /** An answer, and whether it is authoritative; a referral is not. */
  record Answer(ResponseTemplate template, boolean authoritative) {}

  final byte[] origin;
  private Zone zone;
  private final Map<Question, Answer> cachedAnswers = new LinkedHashMap<>(64, 0.75f, true);

  LocalZone(byte[] origin, Zone zone) {
    this.origin = origin;
    this.zone = zone;
  }

  void replace(Zone next) {
    zone = next;
    cachedAnswers.clear();
  }

  boolean contains(Question q) {
    return Names.isWithin(q.name(), origin);
  }

  Answer answer(Question q) {
    Answer answer = cachedAnswers.get(q);
    if (answer == null) {
      answer = buildAnswer(q);
      cachedAnswers.put(q, answer);
      if (cachedAnswers.size() > MAX_CACHED_ANSWERS) {
        cachedAnswers.remove(cachedAnswers.keySet().iterator().next());
      }
    }
    return answer;
  }

  private Answer buildAnswer(Question q) {
    try {
      Name name = new Name(q.name());
      org.xbill.DNS.Message m = new org.xbill.DNS.Message(0);
      m.getHeader().setFlag(Flags.QR);
      m.addRecord(Record.newRecord(name, q.type(), DClass.IN), Section.QUESTION);
      boolean authoritative = fillSections(m, name, q.type());
      return new Answer(ResponseTemplate.of(Message.read(m.toWire(Message.MAX_LENGTH))), authoritative);
    } catch (IOException | MalformedException e) {
      throw new IllegalStateException("no answer for " + q, e); // Can't happen: the question and the zone have been parsed before.
    }
  }

  private boolean fillSections(org.xbill.DNS.Message m, Name queried, int type) {
    Name name = queried;
    for (int i = 0; i < MAX_ALIASES; i++) {
      SetResponse response = zone.findRecords(name, type);
      if (response.isSuccessful()) {
        response.answers().forEach(set -> add(m, set, Section.ANSWER));
        addAdditional(m, response.answers());
        return true;
      } else if (response.isCNAME()) {
        m.addRecord(response.getCNAME(), Section.ANSWER);
        name = response.getCNAME().getTarget();
        if (!name.subdomain(zone.getOrigin())) {
          return true; // The client resolves the rest of the chain.
        }
      } else if (response.isDelegation()) {
        add(m, response.getNS(), Section.AUTHORITY);
        return false;
      } else {
        if (response.isNXDOMAIN()) {
          m.getHeader().setRcode(Message.NXDOMAIN);
        }
        SOARecord soa = zone.getSOA();
        // The negative TTL (RFC 2308, 3).
        m.addRecord(Record.newRecord(soa.getName(), Type.SOA, DClass.IN, Math.min(soa.getTTL(), soa.getMinimum()),
            soa.rdataToWireCanonical()), Section.AUTHORITY);
        return true;
      }
    }
    return true;
  }

  private static void add(org.xbill.DNS.Message m, RRset set, int section) {
    set.rrs(false).forEach(r -> m.addRecord(r, section));
  }

  /** Adds the addresses of SRV targets, and for PTR records the SRV, TXT and address records that clients query next (RFC 6763, 12). */
  private void addAdditional(org.xbill.DNS.Message m, List<RRset> sets) {
    for (RRset set : sets) {
      if (set.size() > MAX_ADDITIONAL) {
        continue;
      }
      for (Record r : set.rrs(false)) {
        if (r instanceof SRVRecord srv) {
          addAddresses(m, srv.getTarget());
        } else if (r.getType() == Type.PTR) {
          Name instance = ((org.xbill.DNS.PTRRecord) r).getTarget();
          for (int type : new int[] {Type.SRV, Type.TXT}) {
            SetResponse response = zone.findRecords(instance, type);
            if (response.isSuccessful()) {
              response.answers().forEach(s -> add(m, s, Section.ADDITIONAL));
              response.answers().forEach(s -> s.rrs(false).forEach(x -> {
                if (x instanceof SRVRecord srv) {
                  addAddresses(m, srv.getTarget());
                }
              }));
            }
          }
        }
      }
    }
  }

  private void addAddresses(org.xbill.DNS.Message m, Name host) {
    for (int type : new int[] {Type.A, Type.AAAA}) {
      SetResponse response = zone.findRecords(host, type);
      if (response.isSuccessful()) {
        response.answers().forEach(s -> add(m, s, Section.ADDITIONAL));
      }
    }
  }
}
