package cloverpulley.dns;

import cloverpulley.Balancer.State;
import cloverpulley.dns.DnsConfig.FleetZoneConfig;
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
 * Generates a zone from the fleet (RFC 2782, 6763): address records for the origin and for each server, weighted SRV records and TXT
 * records. Only ready servers are included, and servers in slow start get a lower weight. Pure: the time is passed in.
 */
final class FleetZone {

  private static final int BASE_WEIGHT = 100;
  private static final int MAX_WEIGHT = 65_535;
  private static final int REFRESH_S = 60;
  private static final int RETRY_S = 10;
  private static final int EXPIRE_S = 3600;
  private static final int MAX_LABEL = 63;

  private final FleetZoneConfig config;
  private long serial;
  private List<String> published = List.of();

  FleetZone(FleetZoneConfig config) {
    this.config = config;
  }

  /** The zone for a list at a Unix time; null if nothing has changed since the last call. */
  Zone zone(ServerList list, long nowMillis) {
    List<Server> ready = list.members().stream().filter(s -> s.state() == State.READY).toList();
    List<String> current = new ArrayList<>();
    ready.forEach(s -> current.add(s + " " + weight(s, nowMillis)));
    if (serial > 0 && current.equals(published)) {
      return null;
    }
    published = current;
    // At least the Unix time, so that the serial also increases across restarts: changes don't come more than once a second for long.
    serial = Math.max(serial + 1, TimeUnit.MILLISECONDS.toSeconds(nowMillis));
    try {
      return build(ready, nowMillis);
    } catch (IOException e) {
      throw new IllegalStateException("the fleet zone can't be built from validated names", e);
    }
  }

  long serial() {
    return serial & 0xFFFFFFFFL;
  }

  /** The SRV weight: proportional to the server's size, reduced during slow start and rising linearly until the server is warmed up. */
  int weight(Server s, long nowMillis) {
    double age = s.upSinceMillis() <= 0 ? Double.MAX_VALUE : TimeUnit.MILLISECONDS.toNanos(Math.max(0, nowMillis - s.upSinceMillis()));
    double ratio = config.slowStartNanos() == 0 ? 1
        : Math.min(1, config.slowStartMinRatio() + (1 - config.slowStartMinRatio()) * age / config.slowStartNanos());
    return (int) Math.max(1, Math.min(MAX_WEIGHT, Math.round(BASE_WEIGHT * s.size() * ratio)));
  }

  private Zone build(List<Server> ready, long nowMillis) throws IOException {
    Name origin = Name.fromString(config.origin());
    Name ns = Name.fromString("ns", origin);
    Name service = Name.fromString(config.service(), origin);
    long ttl = config.ttl();
    List<Record> records = new ArrayList<>();
    records.add(new SOARecord(origin, DClass.IN, ttl, ns, Name.fromString("hostmaster", origin), serial(), REFRESH_S, RETRY_S,
        EXPIRE_S, ttl));
    records.add(new NSRecord(origin, DClass.IN, ttl, ns));
    records.add(address(ns, ttl, config.server().getAddress()));
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
      records.add(new TXTRecord(instance, DClass.IN, ttl, List.of("id=" + truncate(s.id()), "locality=" + truncate(s.zone()),
          "cell=" + s.cell(), "size=" + s.size(), "phase=ready", "started=" + s.upSinceMillis())));
    }
    return new Zone(origin, records.stream().distinct().toArray(Record[]::new));
  }

  private static String truncate(String text) {
    return text.length() > 200 ? text.substring(0, 200) : text;
  }

  private static Record address(Name name, long ttl, InetAddress address) {
    return address instanceof Inet4Address ? new ARecord(name, DClass.IN, ttl, address)
        : new AAAARecord(name, DClass.IN, ttl, address);
  }

  /** The host label of a server: its id if that is a valid label, else a hash of it. */
  static String label(String id) {
    return id.length() <= MAX_LABEL && id.matches("[a-zA-Z0-9]([a-zA-Z0-9-]*[a-zA-Z0-9])?") ? id
        : "n-" + Integer.toHexString(id.hashCode());
  }
}
