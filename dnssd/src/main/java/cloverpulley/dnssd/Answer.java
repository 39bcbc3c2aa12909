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
 * The records of an answer that belong to the queried name. Records of other names are ignored, except those reached through CNAME
 * records (RFC 1034, 3.6.2; at most eight) and those in the additional section of a browse answer that are within the browsed zone.
 */
final class Answer {

  private static final int MAX_ALIASES = 8;
  /** Per name and type; a server has one SRV record and few addresses. */
  private static final int MAX_RECORDS = 64;

  private final Message message;
  private final List<Record> records;
  /** In milliseconds: the lowest TTL of the records; for an empty answer the negative TTL of the zone (RFC 2308, 5). */
  private final long ttl;

  /**
   * Parses a message and selects the records of a type.
   *
   * @throws IOException if the answer is unusable, which callers treat like no answer
   */
  Answer(byte[] bytes, Name name, int type) throws IOException {
    message = new Message(bytes);
    int rcode = message.getRcode();
    if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
      throw new IOException(Rcode.string(rcode));
    }
    records = new ArrayList<>();
    Name owner = name;
    long minTtl = Long.MAX_VALUE;
    for (int i = 0; i <= MAX_ALIASES; i++) {
      Name next = null;
      for (Record r : message.getSection(Section.ANSWER)) {
        if (!r.getName().equals(owner)) {
          continue;
        } else if (r.getType() == type) {
          records.add(r);
          minTtl = Math.min(minTtl, r.getTTL());
        } else if (r instanceof CNAMERecord c) {
          next = c.getTarget();
          minTtl = Math.min(minTtl, r.getTTL());
        }
      }
      if (!records.isEmpty() || next == null) {
        break;
      }
      owner = next;
    }
    if (records.isEmpty()) {
      minTtl = Long.MAX_VALUE;
      for (Record r : message.getSection(Section.AUTHORITY)) {
        if (r instanceof SOARecord soa) {
          minTtl = Math.min(soa.getTTL(), soa.getMinimum());
        }
      }
      if (rcode == Rcode.NOERROR && minTtl == Long.MAX_VALUE && !message.getHeader().getFlag(Flags.AA)
          && !message.getSection(Section.AUTHORITY).isEmpty()) {
        throw new IOException("referral instead of an answer"); // It does not mean that no record exists.
      }
    }
    ttl = minTtl == Long.MAX_VALUE ? 0 : minTtl * 1000;
  }

  long ttlMillis() {
    return ttl;
  }

  boolean isAuthoritative() {
    return message.getHeader().getFlag(Flags.AA);
  }

  /** The instances that a browse answer lists. */
  Set<String> pointers() {
    Set<String> names = new LinkedHashSet<>();
    for (Record r : records) {
      if (r instanceof PTRRecord p) {
        names.add(DnsSdConfig.canonicalName(p.getTarget()));
      }
    }
    return names;
  }

  /** The zone's serial; -1 if the answer has no SOA record. */
  long serial() {
    return records.isEmpty() || !(records.get(0) instanceof SOARecord soa) ? -1 : soa.getSerial();
  }

  List<SrvRecord> services() {
    List<SrvRecord> services = new ArrayList<>();
    records.stream().limit(MAX_RECORDS).forEach(r -> {
      // The root as target means that the service is not available (RFC 2782).
      if (r instanceof SRVRecord s && !s.getTarget().equals(Name.root) && s.getPort() > 0) {
        services.add(toSrvRecord(s));
      }
    });
    return services;
  }

  private static SrvRecord toSrvRecord(SRVRecord s) {
    return new SrvRecord(s.getPriority(), s.getWeight(), DnsSdConfig.canonicalName(s.getTarget()), s.getPort());
  }

  Map<String, String> pairs() {
    return records.isEmpty() || !(records.get(0) instanceof TXTRecord t) ? Map.of() : TextKeys.pairs(t.getStringsAsByteArrays());
  }

  List<String> addresses() {
    List<String> addresses = new ArrayList<>();
    records.stream().limit(MAX_RECORDS).forEach(r -> {
      InetAddress a = r instanceof ARecord ipv4 ? ipv4.getAddress() : r instanceof AAAARecord ipv6 ? ipv6.getAddress() : null;
      // Addresses that do not identify a single server are ignored.
      if (a != null && !a.isAnyLocalAddress() && !a.isMulticastAddress()) {
        addresses.add(a.getHostAddress());
      }
    });
    return addresses;
  }

  /** All records of one instance, taken from the additional section of a browse answer. */
  record CompleteInstance(List<SrvRecord> services, Map<String, String> pairs, Map<String, List<String>> ipv4, Map<String, List<String>> ipv6,
      long ttlMillis) {}

  /**
   * The browsed instances whose SRV, TXT and address records are all in the additional section (RFC 6763, 12.1). Records outside the zone
   * are ignored (RFC 5452, 6).
   */
  Map<String, CompleteInstance> completeInstances(Set<String> names, Name zone) {
    Map<String, List<SRVRecord>> services = new HashMap<>();
    Map<String, TXTRecord> txtRecords = new HashMap<>();
    Map<String, List<Record>> addresses = new HashMap<>();
    for (Record r : message.getSection(Section.ADDITIONAL)) {
      if (r.getType() == Type.OPT || !r.getName().subdomain(zone)) {
        continue;
      }
      String owner = DnsSdConfig.canonicalName(r.getName());
      if (r instanceof SRVRecord s) {
        services.computeIfAbsent(owner, n -> new ArrayList<>()).add(s);
      } else if (r instanceof TXTRecord t) {
        txtRecords.putIfAbsent(owner, t);
      } else if (r instanceof ARecord || r instanceof AAAARecord) {
        addresses.computeIfAbsent(owner, n -> new ArrayList<>()).add(r);
      }
    }
    Map<String, CompleteInstance> instances = new HashMap<>();
    for (String name : names) {
      List<SRVRecord> srvRecords = services.get(name);
      TXTRecord txt = txtRecords.get(name);
      if (srvRecords == null || txt == null || srvRecords.size() > MAX_RECORDS) {
        continue;
      }
      long minTtl = txt.getTTL();
      List<SrvRecord> serviceRecords = new ArrayList<>();
      Map<String, List<String>> ipv4 = new HashMap<>();
      Map<String, List<String>> ipv6 = new HashMap<>();
      boolean complete = true;
      for (SRVRecord s : srvRecords) {
        minTtl = Math.min(minTtl, s.getTTL());
        serviceRecords.add(toSrvRecord(s));
        List<Record> targetAddresses = addresses.getOrDefault(DnsSdConfig.canonicalName(s.getTarget()), List.of());
        complete &= !targetAddresses.isEmpty() && s.getPort() > 0;
        for (Record r : targetAddresses) {
          minTtl = Math.min(minTtl, r.getTTL());
          (r instanceof ARecord ? ipv4 : ipv6).computeIfAbsent(DnsSdConfig.canonicalName(s.getTarget()), t -> new ArrayList<>())
              .add((r instanceof ARecord a ? a.getAddress() : ((AAAARecord) r).getAddress()).getHostAddress());
        }
      }
      if (complete) {
        instances.put(name, new CompleteInstance(serviceRecords, TextKeys.pairs(txt.getStringsAsByteArrays()), ipv4, ipv6, minTtl * 1000));
      }
    }
    return instances;
  }
}
