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

/** A zone that is answered from here (RFC 1034, 4.3.2); answers once made are kept until the zone changes. */
final class LocalZone {

  private static final int MOST_KEPT = 2000;
  private static final int MOST_ALIASES = 8;
  /** More servers than this bring no additional records: the answer would not fit a datagram anyway. */
  private static final int MOST_ADDITIONAL = 40;

  /** An answer, and whether it is the zone's own word and not a referral. */
  record Answer(ResponseTemplate body, boolean authoritative) {}

  final byte[] origin;
  private Zone zone;
  private final Map<Question, Answer> kept = new LinkedHashMap<>(64, 0.75f, true);

  LocalZone(byte[] origin, Zone zone) {
    this.origin = origin;
    this.zone = zone;
  }

  void replace(Zone next) {
    zone = next;
    kept.clear();
  }

  boolean holds(Question q) {
    return Names.isWithin(q.name(), origin);
  }

  Answer answer(Question q) {
    Answer answer = kept.get(q);
    if (answer == null) {
      answer = make(q);
      kept.put(q, answer);
      if (kept.size() > MOST_KEPT) {
        kept.remove(kept.keySet().iterator().next());
      }
    }
    return answer;
  }

  private Answer make(Question q) {
    try {
      Name name = new Name(q.name());
      org.xbill.DNS.Message m = new org.xbill.DNS.Message(0);
      m.getHeader().setFlag(Flags.QR);
      m.addRecord(Record.newRecord(name, q.type(), DClass.IN), Section.QUESTION);
      boolean own = fill(m, name, q.type());
      return new Answer(ResponseTemplate.of(Message.read(m.toWire(Message.MAX_LENGTH))), own);
    } catch (IOException | MalformedException e) {
      throw new IllegalStateException("no answer for " + q, e); // Both have been read before.
    }
  }

  private boolean fill(org.xbill.DNS.Message m, Name asked, int type) {
    Name name = asked;
    for (int i = 0; i < MOST_ALIASES; i++) {
      SetResponse found = zone.findRecords(name, type);
      if (found.isSuccessful()) {
        found.answers().forEach(set -> add(m, set, Section.ANSWER));
        additional(m, found.answers());
        return true;
      } else if (found.isCNAME()) {
        m.addRecord(found.getCNAME(), Section.ANSWER);
        name = found.getCNAME().getTarget();
        if (!name.subdomain(zone.getOrigin())) {
          return true; // Whoever asked goes on from there.
        }
      } else if (found.isDelegation()) {
        add(m, found.getNS(), Section.AUTHORITY);
        return false;
      } else {
        if (found.isNXDOMAIN()) {
          m.getHeader().setRcode(Message.NXDOMAIN);
        }
        SOARecord soa = zone.getSOA();
        // For how long there is nothing: RFC 2308, 3.
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

  /** The addresses of service records, and for instances all that is asked next (RFC 6763, 12). */
  private void additional(org.xbill.DNS.Message m, List<RRset> sets) {
    for (RRset set : sets) {
      if (set.size() > MOST_ADDITIONAL) {
        continue;
      }
      for (Record r : set.rrs(false)) {
        if (r instanceof SRVRecord srv) {
          addresses(m, srv.getTarget());
        } else if (r.getType() == Type.PTR) {
          Name instance = ((org.xbill.DNS.PTRRecord) r).getTarget();
          for (int type : new int[] {Type.SRV, Type.TXT}) {
            SetResponse found = zone.findRecords(instance, type);
            if (found.isSuccessful()) {
              found.answers().forEach(s -> add(m, s, Section.ADDITIONAL));
              found.answers().forEach(s -> s.rrs(false).forEach(x -> {
                if (x instanceof SRVRecord srv) {
                  addresses(m, srv.getTarget());
                }
              }));
            }
          }
        }
      }
    }
  }

  private void addresses(org.xbill.DNS.Message m, Name host) {
    for (int type : new int[] {Type.A, Type.AAAA}) {
      SetResponse found = zone.findRecords(host, type);
      if (found.isSuccessful()) {
        found.answers().forEach(s -> add(m, s, Section.ADDITIONAL));
      }
    }
  }
}
