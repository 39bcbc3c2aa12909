package cloverpulley.dnssd;

import cloverpulley.config.Section;
import cloverpulley.engine.ServerList.Server;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.Name;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TextParseException;

/**
 * The section {@code [publish]} of an operators' file: where and how the process registers itself.
 *
 * @param primary receives updates of the zone
 * @param key signs updates; null if the primary authenticates by address
 * @param port 0 for the port that the process listens on
 * @param text pairs of the instance's TXT record, in addition to those that the process sets itself
 * @param fleet whether the servers configured under {@code [fleet]} are registered as well
 */
public record PublishConfig(InetSocketAddress primary, Name zone, String service, String instance, Name target, InetAddress address,
    int port, int priority, int weight, long ttlSeconds, long leaseMillis, long withdrawMillis, TSIG key,
    Map<String, String> text, boolean fleet) {

  private static final Map<String, Name> ALGORITHMS =
      Map.of("hmac-sha256", TSIG.HMAC_SHA256, "hmac-sha384", TSIG.HMAC_SHA384, "hmac-sha512", TSIG.HMAC_SHA512);
  private static final int MAX_PAIR_LENGTH = 255;

  /** A server to register. */
  record Registration(String instance, Name target, InetAddress address, int port, int priority, int weight, Map<String, String> text) {}

  /** Reads the section and reports its errors. */
  public static PublishConfig read(Section s) {
    InetSocketAddress primary = s.address("primary", null);
    Name zone = name(s, "zone", s.string("zone"));
    String service = s.string("service", "_quote._tcp");
    if (!service.matches("_[A-Za-z0-9-]{1,15}\\._(tcp|udp)")) {
      s.reportError("service", "expected a service and its transport, such as _quote._tcp, got \"" + service + '"');
      service = "_quote._tcp";
    }
    String instance = s.string("instance");
    if (instance.getBytes(java.nio.charset.StandardCharsets.UTF_8).length > 63) {
      s.reportError("instance", "expected 63 octets at most (RFC 6763, 4.1.1)");
      instance = "wrong";
    }
    String targetName = s.string("target", "");
    Name target = targetName.isEmpty() ? child(s, "instance", instance.toLowerCase(java.util.Locale.ROOT).replaceAll("[^a-z0-9-]", "-"), zone)
        : name(s, "target", targetName);
    InetSocketAddress address = s.address("address", "127.0.0.1:0");
    Map<String, String> text = new LinkedHashMap<>();
    for (String pair : s.strings("text", List.of())) {
      int equals = pair.indexOf('=');
      if (equals < 1 || pair.getBytes(java.nio.charset.StandardCharsets.UTF_8).length > MAX_PAIR_LENGTH) {
        s.reportError("text", "expected key=value of " + MAX_PAIR_LENGTH + " octets at most, got \"" + pair + '"');
      } else {
        text.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
    return new PublishConfig(primary, zone, service, instance, target, address.getAddress(), address.getPort(),
        (int) s.integer("priority", 0, 65_535, 0), (int) s.integer("weight", 0, 65_535, 0), s.integer("ttl_s", 1, 86_400, 10),
        1000 * s.integer("lease_s", 1, 86_400, 60), s.integer("withdraw_ms", 0, 60_000, 1000), key(s), text, s.bool("fleet", false));
  }

  private static Name name(Section s, String key, String text) {
    try {
      return Name.fromString(text, Name.root);
    } catch (TextParseException e) {
      s.reportError(key, "expected a domain name, got \"" + text + "\": " + e.getMessage());
      return Name.root;
    }
  }

  private static Name child(Section s, String key, String label, Name zone) {
    try {
      return Name.fromString(label, zone);
    } catch (TextParseException e) {
      s.reportError(key, "expected a label for a domain name: " + e.getMessage());
      return zone;
    }
  }

  private static TSIG key(Section s) {
    if (!s.has("tsig_name")) {
      return null;
    }
    Name name = name(s, "tsig_name", s.string("tsig_name"));
    Name algorithm = s.oneOf("tsig_algorithm", ALGORITHMS, TSIG.HMAC_SHA256);
    try {
      byte[] secret = Base64.getDecoder().decode(s.string("tsig_secret"));
      if (secret.length >= 16) {
        return new TSIG(algorithm, name, secret);
      }
      s.reportError("tsig_secret", "expected at least 16 bytes");
    } catch (IllegalArgumentException e) {
      s.reportError("tsig_secret", "expected base64");
    }
    return null;
  }

  /** The name of the service in the zone. */
  Name serviceName() {
    return child(service, zone);
  }

  private static Name child(String label, Name zone) {
    try {
      return Name.fromString(label, zone);
    } catch (TextParseException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The registration of this process. */
  Registration selfRegistration(int listenPort, long startedMillis) {
    Map<String, String> pairs = new LinkedHashMap<>();
    pairs.put("started", Long.toString(startedMillis));
    pairs.put("phase", "ready");
    pairs.putAll(text);
    return new Registration(instance, target, address, port == 0 ? listenPort : port, priority, weight, pairs);
  }

  /** The registrations of configured servers. */
  List<Registration> registrations(List<Server> servers) {
    List<Registration> all = new ArrayList<>();
    for (Server s : servers) {
      InetSocketAddress socketAddress = (InetSocketAddress) s.address();
      Map<String, String> pairs = new LinkedHashMap<>();
      pairs.put("locality", s.zone());
      pairs.put("cell", Integer.toString(s.cell()));
      pairs.put("size", Double.toString(s.size()));
      pairs.put("phase", s.state() == cloverpulley.Balancer.State.READY ? "ready" : "draining");
      if (s.upSinceMillis() > 0) {
        pairs.put("started", Long.toString(s.upSinceMillis()));
      }
      Name targetName = child(s.id().toLowerCase(java.util.Locale.ROOT).replaceAll("[^a-z0-9-]", "-"), zone);
      all.add(new Registration(s.id(), targetName, socketAddress.getAddress(), socketAddress.getPort(), 0, 0, pairs));
    }
    return all;
  }
}
