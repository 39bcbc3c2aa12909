package cloverpulley.dnssd;

import cloverpulley.membership.SrvRecord;
import cloverpulley.membership.TextKeys;
import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * What an answer says of the name that was asked for. Records of other names are not looked at, but for those that an alias leads
 * to (RFC 1034, 3.6.2; eight of them at most) and those beside a browse that are within the zone asked.
 */
final class Answer {

  private static final int MOST_ALIASES = 8;
  /** Of one kind for one name; a server has one service record, and few addresses. */
  private static final int MOST_RECORDS = 64;

  private final Message message;
  private final List<Record> records;
  /** In milliseconds: the least of the records'; of an empty answer the zone's own (RFC 2308, 5). */
  private final long ttl;

  /**
   * Reads the records of a type.
   *
   * @throws IOException where the answer is none, which is as if none had come
   */
  Answer(byte[] octets, Name name, int type) throws IOException {
    message = new Message(octets);
    int rcode = message.getRcode();
    if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
      throw new IOException(Rcode.string(rcode));
    }
    records = new ArrayList<>();
    Name at = name;
    long least = Long.MAX_VALUE;
    for (int i = 0; i <= MOST_ALIASES; i++) {
      Name next = null;
      for (Record r : message.getSection(Section.ANSWER)) {
        if (!r.getName().equals(at)) {
          continue;
        } else if (r.getType() == type) {
          records.add(r);
          least = Math.min(least, r.getTTL());
        } else if (r instanceof CNAMERecord c) {
          next = c.getTarget();
          least = Math.min(least, r.getTTL());
        }
      }
      if (!records.isEmpty() || next == null) {
        break;
      }
      at = next;
    }
    if (records.isEmpty()) {
      least = Long.MAX_VALUE;
      for (Record r : message.getSection(Section.AUTHORITY)) {
        if (r instanceof SOARecord soa) {
          least = Math.min(soa.getTTL(), soa.getMinimum());
        }
      }
      if (rcode == Rcode.NOERROR && least == Long.MAX_VALUE && !message.getHeader().getFlag(Flags.AA)
          && !message.getSection(Section.AUTHORITY).isEmpty()) {
        throw new IOException("a referral"); // Not an answer that there is nothing.
      }
    }
    ttl = least == Long.MAX_VALUE ? 0 : least * 1000;
  }

  long ttlMillis() {
    return ttl;
  }

  boolean isAuthoritative() {
    return message.getHeader().getFlag(Flags.AA);
  }

  /** The instances that a browse names. */
  Set<String> pointers() {
    Set<String> names = new LinkedHashSet<>();
    for (Record r : records) {
      if (r instanceof PTRRecord p) {
        names.add(DnsSdConfig.text(p.getTarget()));
      }
    }
    return names;
  }

  /** The zone's serial; -1 where the answer has none. */
  long serial() {
    return records.isEmpty() || !(records.get(0) instanceof SOARecord soa) ? -1 : soa.getSerial();
  }

  List<SrvRecord> services() {
    List<SrvRecord> services = new ArrayList<>();
    records.stream().limit(MOST_RECORDS).forEach(r -> {
      // A target that is the root says that the service is not there (RFC 2782).
      if (r instanceof SRVRecord s && !s.getTarget().equals(Name.root) && s.getPort() > 0) {
        services.add(srv(s));
      }
    });
    return services;
  }

  private static SrvRecord srv(SRVRecord s) {
    return new SrvRecord(s.getPriority(), s.getWeight(), DnsSdConfig.text(s.getTarget()), s.getPort());
  }

  Map<String, String> pairs() {
    return records.isEmpty() || !(records.get(0) instanceof TXTRecord t) ? Map.of() : TextKeys.pairs(t.getStringsAsByteArrays());
  }

  List<String> addresses() {
    List<String> figures = new ArrayList<>();
    records.stream().limit(MOST_RECORDS).forEach(r -> {
      InetAddress a = r instanceof ARecord four ? four.getAddress() : r instanceof AAAARecord six ? six.getAddress() : null;
      // Guards against a record that leads somewhere that is no one server.
      if (a != null && !a.isAnyLocalAddress() && !a.isMulticastAddress()) {
        figures.add(a.getHostAddress());
      }
    });
    return figures;
  }

  /** What came beside a browse of one instance, all of it; null where a part is missing. */
  record Beside(List<SrvRecord> services, Map<String, String> pairs, Map<String, List<String>> ipv4, Map<String, List<String>> ipv6,
      long ttlMillis) {}

  /**
   * The instances of a browse whose service, text and addresses came with it (RFC 6763, 12.1), within the zone (RFC 5452, 6).
   */
  Map<String, Beside> beside(Set<String> names, Name zone) {
    Map<String, List<SRVRecord>> services = new HashMap<>();
    Map<String, TXTRecord> texts = new HashMap<>();
    Map<String, List<Record>> addresses = new HashMap<>();
    for (Record r : message.getSection(Section.ADDITIONAL)) {
      if (r.getType() == Type.OPT || !r.getName().subdomain(zone)) {
        continue;
      }
      String owner = DnsSdConfig.text(r.getName());
      if (r instanceof SRVRecord s) {
        services.computeIfAbsent(owner, n -> new ArrayList<>()).add(s);
      } else if (r instanceof TXTRecord t) {
        texts.putIfAbsent(owner, t);
      } else if (r instanceof ARecord || r instanceof AAAARecord) {
        addresses.computeIfAbsent(owner, n -> new ArrayList<>()).add(r);
      }
    }
    Map<String, Beside> whole = new HashMap<>();
    for (String name : names) {
      List<SRVRecord> its = services.get(name);
      TXTRecord text = texts.get(name);
      if (its == null || text == null || its.size() > MOST_RECORDS) {
        continue;
      }
      long least = text.getTTL();
      List<SrvRecord> all = new ArrayList<>();
      Map<String, List<String>> four = new HashMap<>();
      Map<String, List<String>> six = new HashMap<>();
      boolean complete = true;
      for (SRVRecord s : its) {
        least = Math.min(least, s.getTTL());
        all.add(srv(s));
        List<Record> where = addresses.getOrDefault(DnsSdConfig.text(s.getTarget()), List.of());
        complete &= !where.isEmpty() && s.getPort() > 0;
        for (Record r : where) {
          least = Math.min(least, r.getTTL());
          (r instanceof ARecord ? four : six).computeIfAbsent(DnsSdConfig.text(s.getTarget()), t -> new ArrayList<>())
              .add((r instanceof ARecord a ? a.getAddress() : ((AAAARecord) r).getAddress()).getHostAddress());
        }
      }
      if (complete) {
        whole.put(name, new Beside(all, TextKeys.pairs(text.getStringsAsByteArrays()), four, six, least * 1000));
      }
    }
    return whole;
  }
}
