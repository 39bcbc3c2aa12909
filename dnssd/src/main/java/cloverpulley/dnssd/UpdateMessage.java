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

/** Updates (RFC 2136) that register servers under a service and withdraw them, with a lease (RFC 9664). */
final class UpdateMessage {

  private static final int LEASE_OPTION = 2;
  private static final int UDP_SIZE = 1232;

  private UpdateMessage() {}

  /** The name of an instance, its label whatever it holds. */
  static Name instance(PublishConfig config, String label) {
    byte[] octets = label.getBytes(StandardCharsets.UTF_8);
    byte[] service = config.serviceName().toWire();
    byte[] wire = new byte[octets.length + 1 + service.length];
    wire[0] = (byte) octets.length;
    System.arraycopy(octets, 0, wire, 1, octets.length);
    System.arraycopy(service, 0, wire, 1 + octets.length, service.length);
    try {
      return new Name(wire);
    } catch (java.io.IOException e) {
      throw new IllegalArgumentException(label, e);
    }
  }

  /** Puts the servers' records in place of what there is under their names. */
  static Message register(PublishConfig config, List<Registration> servers) {
    Update update = new Update(config.zone());
    Name service = config.serviceName();
    long ttl = config.ttlSeconds();
    for (Registration r : servers) {
      Name name = instance(config, r.instance());
      update.delete(name);
      update.add(new SRVRecord(name, DClass.IN, ttl, r.priority(), r.weight(), r.port(), r.target()));
      update.add(new TXTRecord(name, DClass.IN, ttl, strings(r.text())));
      if (r.target().subdomain(config.zone())) {
        boolean four = r.address() instanceof Inet4Address;
        update.delete(r.target(), four ? Type.A : Type.AAAA);
        update.add(four ? new ARecord(r.target(), DClass.IN, ttl, r.address()) : new AAAARecord(r.target(), DClass.IN, ttl, r.address()));
      }
      // Last: who browses finds all that the pointer leads to.
      update.add(new PTRRecord(service, DClass.IN, ttl, name));
    }
    lease(update, config.leaseMillis());
    return update;
  }

  private static List<String> strings(Map<String, String> pairs) {
    List<String> strings = new ArrayList<>();
    pairs.forEach((k, v) -> strings.add(k + '=' + v));
    return strings.isEmpty() ? List.of("") : strings;
  }

  /** Takes the servers out of the service's list, and all that was registered of them. */
  static Message withdraw(PublishConfig config, List<Registration> servers) {
    Update update = new Update(config.zone());
    for (Registration r : servers) {
      Name name = instance(config, r.instance());
      update.delete(new PTRRecord(config.serviceName(), DClass.IN, 0, name));
      update.delete(name);
      if (r.target().subdomain(config.zone())) {
        update.delete(r.target(), r.address() instanceof Inet4Address ? Type.A : Type.AAAA);
      }
    }
    lease(update, 0);
    return update;
  }

  private static void lease(Message update, long millis) {
    byte[] seconds = ByteBuffer.allocate(4).putInt((int) TimeUnit.MILLISECONDS.toSeconds(millis)).array();
    update.addRecord(new OPTRecord(UDP_SIZE, 0, 0, 0, List.of(new GenericEDNSOption(LEASE_OPTION, seconds))), Section.ADDITIONAL);
  }

  /** The lease that an answer grants, in milliseconds; 0 where it speaks of none. */
  static long granted(Message answer) {
    OPTRecord opt = answer.getOPT();
    for (EDNSOption o : opt == null ? List.<EDNSOption>of() : opt.getOptions(LEASE_OPTION)) {
      byte[] wire = o.toWire(); // Code and length, two octets each, then what it holds.
      if (wire.length >= 8) {
        return TimeUnit.SECONDS.toMillis(ByteBuffer.wrap(wire, 4, 4).getInt() & 0xFFFF_FFFFL);
      }
    }
    return 0;
  }

  /** The records of an update, for people. */
  static List<Record> records(Message update) {
    return update.getSection(Section.UPDATE);
  }
}
