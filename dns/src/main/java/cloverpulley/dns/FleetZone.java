package cloverpulley.dns;

import cloverpulley.Balancer.State;
import cloverpulley.dns.DnsConfig.FleetNames;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.NSRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Zone;

/**
 * The fleet as a zone (RFC 2782, 6763): address records of the zone's own name and of each server, service records with a part of
 * the load each, and their texts. Only ready servers are in it, and one that has just started gets less. Pure: the time is told.
 */
final class FleetZone {

  private static final int FULL_WEIGHT = 100;
  private static final int MOST_WEIGHT = 65_535;
  private static final int REFRESH_S = 60;
  private static final int RETRY_S = 10;
  private static final int EXPIRE_S = 3600;
  private static final int MOST_LABEL = 63;

  private final FleetNames names;
  private long serial;
  private List<String> shown = List.of();

  FleetZone(FleetNames names) {
    this.names = names;
  }

  /** The zone for a list at a Unix time; null where nothing has changed since the last. */
  Zone zone(ServerList list, long nowMillis) {
    List<Server> ready = list.members().stream().filter(s -> s.state() == State.READY).toList();
    List<String> shows = new ArrayList<>();
    ready.forEach(s -> shows.add(s + " " + weight(s, nowMillis)));
    if (serial > 0 && shows.equals(shown)) {
      return null;
    }
    shown = shows;
    // Grows with each change, also over a restart: no change comes more than once a second for long.
    serial = Math.max(serial + 1, TimeUnit.MILLISECONDS.toSeconds(nowMillis));
    try {
      return build(ready, nowMillis);
    } catch (IOException e) {
      throw new IllegalStateException("a zone of checked names can't be built", e);
    }
  }

  long serial() {
    return serial & 0xFFFFFFFFL;
  }

  /** SRV weight: by size, and of a server that has just started the part that it may take, rising until it is warm. */
  int weight(Server s, long nowMillis) {
    double age = s.upSinceMillis() <= 0 ? Double.MAX_VALUE : TimeUnit.MILLISECONDS.toNanos(Math.max(0, nowMillis - s.upSinceMillis()));
    double part = names.coldNanos() == 0 ? 1 : Math.min(1, names.coldFrom() + (1 - names.coldFrom()) * age / names.coldNanos());
    return (int) Math.max(1, Math.min(MOST_WEIGHT, Math.round(FULL_WEIGHT * s.size() * part)));
  }

  private Zone build(List<Server> ready, long nowMillis) throws IOException {
    Name origin = Name.fromString(names.origin());
    Name ns = Name.fromString("ns", origin);
    Name service = Name.fromString(names.service(), origin);
    long ttl = names.ttl();
    List<Record> records = new ArrayList<>();
    records.add(new SOARecord(origin, DClass.IN, ttl, ns, Name.fromString("hostmaster", origin), serial(), REFRESH_S, RETRY_S,
        EXPIRE_S, ttl));
    records.add(new NSRecord(origin, DClass.IN, ttl, ns));
    records.add(address(ns, ttl, names.server().getAddress()));
    records.add(new PTRRecord(Name.fromString("_services._dns-sd._udp", origin), DClass.IN, ttl, service));
    for (Server s : ready) {
      InetSocketAddress at = (InetSocketAddress) s.address();
      String label = label(s.id());
      Name host = Name.fromString(label, origin);
      Name instance = Name.fromString(label, service);
      int weight = weight(s, nowMillis);
      records.add(address(origin, ttl, at.getAddress()));
      records.add(address(host, ttl, at.getAddress()));
      records.add(new PTRRecord(service, DClass.IN, ttl, instance));
      records.add(new SRVRecord(service, DClass.IN, ttl, 0, weight, at.getPort(), host));
      records.add(new SRVRecord(instance, DClass.IN, ttl, 0, weight, at.getPort(), host));
      records.add(new TXTRecord(instance, DClass.IN, ttl, List.of("id=" + cut(s.id()), "locality=" + cut(s.zone()),
          "cell=" + s.cell(), "size=" + s.size(), "phase=ready", "started=" + s.upSinceMillis())));
    }
    return new Zone(origin, records.stream().distinct().toArray(Record[]::new));
  }

  private static String cut(String text) {
    return text.length() > 200 ? text.substring(0, 200) : text;
  }

  private static Record address(Name name, long ttl, InetAddress address) {
    return address instanceof Inet4Address ? new ARecord(name, DClass.IN, ttl, address)
        : new AAAARecord(name, DClass.IN, ttl, address);
  }

  /** A label of a host's name: the id where it is one, else a number made of it. */
  static String label(String id) {
    return id.length() <= MOST_LABEL && id.matches("[a-zA-Z0-9]([a-zA-Z0-9-]*[a-zA-Z0-9])?") ? id
        : "n-" + Integer.toHexString(id.hashCode());
  }
}
