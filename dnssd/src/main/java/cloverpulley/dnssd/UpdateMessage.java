package cloverpulley.dnssd;

import cloverpulley.dnssd.PublishConfig.Registration;
import java.net.Inet4Address;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;

/** Builds the updates (RFC 2136) that register servers under a service and withdraw them, with a lease (RFC 9664). */
final class UpdateMessage {

  private static final int LEASE_OPTION = 2;
  private static final int UDP_SIZE = 1232;

  private UpdateMessage() {}

  /** The name of an instance. It is built in wire format, because the label may contain any character. */
  static Name instanceName(PublishConfig config, String label) {
    byte[] labelBytes = label.getBytes(StandardCharsets.UTF_8);
    byte[] service = config.serviceName().toWire();
    byte[] wire = new byte[labelBytes.length + 1 + service.length];
    wire[0] = (byte) labelBytes.length;
    System.arraycopy(labelBytes, 0, wire, 1, labelBytes.length);
    System.arraycopy(service, 0, wire, 1 + labelBytes.length, service.length);
    try {
      return new Name(wire);
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException(label, e);
    }
  }

  /** Builds an update that replaces all records under the servers' names with those of the servers. */
  static Message register(PublishConfig config, List<Registration> servers) {
    Update update = new Update(config.zone());
    Name service = config.serviceName();
    long ttl = config.ttlSeconds();
    for (Registration r : servers) {
      Name name = instanceName(config, r.instance());
      update.delete(name);
      update.add(new SRVRecord(name, DClass.IN, ttl, r.priority(), r.weight(), r.port(), r.target()));
      update.add(new TXTRecord(name, DClass.IN, ttl, txtStrings(r.text())));
      if (r.target().subdomain(config.zone())) {
        boolean ipv4 = r.address() instanceof Inet4Address;
        update.delete(r.target(), ipv4 ? Type.A : Type.AAAA);
        update.add(ipv4 ? new ARecord(r.target(), DClass.IN, ttl, r.address()) : new AAAARecord(r.target(), DClass.IN, ttl, r.address()));
      }
      // The PTR record comes last, so that the records that it leads to exist when a client finds it.
      update.add(new PTRRecord(service, DClass.IN, ttl, name));
    }
    addLease(update, config.leaseMillis());
    return update;
  }

  private static List<String> txtStrings(Map<String, String> pairs) {
    List<String> txtStrings = new ArrayList<>();
    pairs.forEach((k, v) -> txtStrings.add(k + '=' + v));
    return txtStrings.isEmpty() ? List.of("") : txtStrings;
  }

  /** Builds an update that removes the servers from the service, with all records registered for them. */
  static Message withdraw(PublishConfig config, List<Registration> servers) {
    Update update = new Update(config.zone());
    for (Registration r : servers) {
      Name name = instanceName(config, r.instance());
      update.delete(new PTRRecord(config.serviceName(), DClass.IN, 0, name));
      update.delete(name);
      if (r.target().subdomain(config.zone())) {
        update.delete(r.target(), r.address() instanceof Inet4Address ? Type.A : Type.AAAA);
      }
    }
    addLease(update, 0);
    return update;
  }

  private static void addLease(Message update, long millis) {
    byte[] seconds = ByteBuffer.allocate(4).putInt((int) TimeUnit.MILLISECONDS.toSeconds(millis)).array();
    update.addRecord(new OPTRecord(UDP_SIZE, 0, 0, 0, List.of(new GenericEDNSOption(LEASE_OPTION, seconds))), Section.ADDITIONAL);
  }

  /** The lease time granted by an answer, in milliseconds; 0 if it contains none. */
  static long grantedMillis(Message answer) {
    OPTRecord opt = answer.getOPT();
    for (EDNSOption option : opt == null ? List.<EDNSOption>of() : opt.getOptions(LEASE_OPTION)) {
      byte[] wire = option.toWire(); // Code and length of two octets each, then the value.
      if (wire.length >= 8) {
        return TimeUnit.SECONDS.toMillis(ByteBuffer.wrap(wire, 4, 4).getInt() & 0xFFFF_FFFFL);
      }
    }
    return 0;
  }

  /** The records of an update. */
  static List<Record> records(Message update) {
    return update.getSection(Section.UPDATE);
  }
}
