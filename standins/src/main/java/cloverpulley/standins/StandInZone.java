package cloverpulley.standins;

import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.xbill.DNS.DClass;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TSIG;
import org.xbill.DNS.TSIGRecord;
import org.xbill.DNS.Type;

/**
 * An authoritative DNS server of one zone on loopback whose records change while it serves. A test changes them directly, or a client by
 * UPDATE (RFC 2136) signed with a key (RFC 8945). Changes that alter the zone increase its serial, and subscribers receive them by push
 * (RFC 8765). Faults are scripted; servers that disagree are simulated with several instances.
 */
public final class StandInZone implements AutoCloseable {

  private static final int LEASE_OPTION = 2;
  private static final int SUBSCRIBE = 0x40;
  private static final int PUSH = 0x41;
  private static final int UNSUBSCRIBE = 0x42;
  private static final int KEEPALIVE = 1;
  private static final int DSO = 6;

  /** How the server misbehaves towards its clients. */
  public enum Fault { NONE, NO_RESPONSE, NXDOMAIN, SERVFAIL, REFUSED, NO_TXT, NO_SRV, NO_ADDRESS }

  private record Subscription(StandInDns.ReceivedQuery session, int id, Name name, int type) {}

  private final Name origin;
  private final StandInDns server;
  /** All records by name and type; guarded by {@code this}. */
  private final TreeMap<Name, Map<Integer, List<Record>>> records = new TreeMap<>();
  private final List<Subscription> subscriptions = new ArrayList<>();
  private final List<String> updates = new ArrayList<>();
  private long serial = 1;
  private long ttl = 10;
  private TSIG key;
  private boolean additional;
  private boolean authoritative = true;
  private boolean push;
  private long grantedLeaseSeconds;
  private volatile Fault fault = Fault.NONE;

  /** Starts a server for the zone {@code origin}, which ends with a dot. */
  public StandInZone(EventLoopGroup group, String origin) {
    this.origin = name(origin);
    server = new StandInDns(group, this::handle);
  }

  private static Name name(String text) {
    try {
      return Name.fromString(text, Name.root);
    } catch (org.xbill.DNS.TextParseException e) {
      throw new IllegalArgumentException(e);
    }
  }

  // ---- Test controls -------------------------------------------------------------------------------------

  public StandInDns server() {
    return server;
  }

  public InetSocketAddress address() {
    return server.address();
  }

  public void fault(Fault next) {
    fault = next;
  }

  /** Sets the TTL, in seconds, of the records that {@link #server} adds and of the SOA record. */
  public synchronized void ttl(long seconds) {
    ttl = seconds;
  }

  public synchronized void serial(long next) {
    serial = next;
  }

  public synchronized long serial() {
    return serial;
  }

  /** Sets whether answers to PTR queries carry the records of the instances as additional records. */
  public synchronized void additional(boolean on) {
    additional = on;
  }

  /** Sets whether answers are authoritative, or look like those of a cache. */
  public synchronized void authoritative(boolean on) {
    authoritative = on;
  }

  /** Sets whether the server accepts DSO sessions and pushes changes. */
  public synchronized void push(boolean on) {
    push = on;
  }

  /** Accepts only updates signed with this key, and signs the answers to them. */
  public synchronized void key(TSIG next) {
    key = next;
  }

  /** Sets the lease to grant, in seconds; 0 to grant the requested one. */
  public synchronized void grantLease(long seconds) {
    grantedLeaseSeconds = seconds;
  }

  /** The accepted update records in text form, as type, class and name. */
  public synchronized List<String> updates() {
    return List.copyOf(updates);
  }

  /** Adds a record given in zone file format: name, TTL, type, data. */
  public synchronized StandInZone put(String text) {
    try {
      add(StandInDns.record(text));
    } catch (IOException e) {
      throw new IllegalArgumentException(text, e);
    }
    return this;
  }

  private void add(Record r) {
    List<Record> all = records.computeIfAbsent(r.getName(), n -> new TreeMap<>()).computeIfAbsent(r.getType(), t -> new ArrayList<>());
    if (!all.contains(r)) {
      all.add(r);
      notifySubscribers(r.getName(), r.getType(), r, false);
    }
  }

  /** Removes all records of a name that have the given type, or all of them for {@link Type#ANY}. */
  public synchronized StandInZone remove(String text, int type) {
    remove(name(text), type);
    return this;
  }

  private void remove(Name n, int type) {
    Map<Integer, List<Record>> rrsets = records.get(n);
    if (rrsets == null) {
      return;
    }
    for (int t : type == Type.ANY ? Set.copyOf(rrsets.keySet()) : Set.of(type)) {
      List<Record> removed = rrsets.remove(t);
      if (removed != null) {
        notifySubscribers(n, t, null, true);
      }
    }
    if (rrsets.isEmpty()) {
      records.remove(n);
    }
  }

  private void remove(Record r) {
    List<Record> rrset = records.getOrDefault(r.getName(), Map.of()).get(r.getType());
    if (rrset != null && rrset.removeIf(x -> x.rdataToWireCanonical().length > 0
        && java.util.Arrays.equals(x.rdataToWireCanonical(), r.rdataToWireCanonical()))) {
      notifySubscribers(r.getName(), r.getType(), r, true);
      if (rrset.isEmpty()) {
        records.get(r.getName()).remove(r.getType());
      }
    }
  }

  /** Adds an instance with all its records, or replaces those of the same label. Increments the serial. */
  public synchronized void server(String label, String target, int port, String address, String... text) {
    server(label, 0, target, port, address, text);
  }

  /** Adds or replaces an instance with an SRV priority. */
  public synchronized void server(String label, int priority, String target, int port, String address, String... text) {
    String service = "_quote._tcp." + origin;
    String instance = label + '.' + service;
    replace(instance, Type.SRV, priority + " 0 " + port + ' ' + target);
    replace(instance, Type.TXT, text.length == 0 ? "\"\"" : String.join(" ", java.util.Arrays.stream(text).map(t -> '"' + t + '"').toList()));
    replace(target, address.contains(":") ? Type.AAAA : Type.A, address);
    put(service + ' ' + ttl + " PTR " + instance);
    serial++;
  }

  private void replace(String owner, int type, String data) {
    try {
      Record r = StandInDns.record(owner + ' ' + ttl + ' ' + Type.string(type) + ' ' + data);
      List<Record> before = records.getOrDefault(r.getName(), Map.of()).get(type);
      if (before == null || !before.equals(List.of(r))) {
        records.computeIfAbsent(r.getName(), n -> new TreeMap<>()).put(type, new ArrayList<>(List.of(r)));
        notifySubscribers(r.getName(), type, r, false);
      }
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Removes the PTR record of an instance and keeps its other records, as real servers do. Increments the serial. */
  public synchronized void withdraw(String label) {
    try {
      remove(StandInDns.record("_quote._tcp." + origin + ' ' + ttl + " PTR " + label + "._quote._tcp." + origin));
    } catch (IOException e) {
      throw new IllegalArgumentException(e);
    }
    serial++;
  }

  /** Copies the records and the serial of another server, as a secondary does. */
  public synchronized void transfer(StandInZone primary) {
    TreeMap<Name, Map<Integer, List<Record>>> all = new TreeMap<>();
    synchronized (primary) {
      primary.records.forEach((n, types) -> types.forEach((t, r) ->
          all.computeIfAbsent(n, x -> new TreeMap<>()).put(t, new ArrayList<>(r))));
      serial = primary.serial;
    }
    records.clear();
    records.putAll(all);
  }

  /** Sends a NOTIFY for the zone (RFC 1996) to a reader, from the IP address of the server and an ephemeral port. */
  public void notifyReader(InetSocketAddress reader) throws IOException {
    Message m = new Message();
    m.getHeader().setOpcode(Opcode.NOTIFY);
    m.getHeader().setFlag(Flags.AA);
    m.addRecord(Record.newRecord(origin, Type.SOA, DClass.IN), Section.QUESTION);
    byte[] wire = m.toWire();
    try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      socket.send(new DatagramPacket(wire, wire.length, reader));
    }
  }

  // ---- Answers -------------------------------------------------------------------------------------------

  private void handle(StandInDns.ReceivedQuery a) {
    Fault now = fault;
    if (now == Fault.NO_RESPONSE) {
      return;
    }
    Message m = a.message();
    int opcode = m.getHeader().getOpcode();
    if (opcode == DSO) {
      handleSession(a);
    } else if (opcode == Opcode.UPDATE) {
      update(a, m);
    } else if (m.getQuestion() == null) {
      a.reply(new Message(m.getHeader().getID()));
    } else if (now == Fault.SERVFAIL || now == Fault.REFUSED) {
      a.reply(a.answer(now == Fault.SERVFAIL ? Rcode.SERVFAIL : Rcode.REFUSED));
    } else {
      answer(a, m.getQuestion(), now);
    }
  }

  private synchronized void answer(StandInDns.ReceivedQuery a, Record q, Fault now) {
    Name n = q.getName();
    int type = q.getType();
    if (type == Type.SOA && n.equals(origin) && now != Fault.NXDOMAIN) {
      Message m = a.answer(Rcode.NOERROR);
      m.addRecord(soa(), Section.ANSWER);
      send(a, m);
      return;
    }
    boolean hidden = now == Fault.NXDOMAIN || now == Fault.NO_TXT && type == Type.TXT || now == Fault.NO_SRV && type == Type.SRV
        || now == Fault.NO_ADDRESS && (type == Type.A || type == Type.AAAA);
    Map<Integer, List<Record>> rrsets = hidden ? Map.of() : records.getOrDefault(n, Map.of());
    Message m = a.answer(rrsets.isEmpty() && (now == Fault.NXDOMAIN || !hidden) ? Rcode.NXDOMAIN : Rcode.NOERROR);
    Name owner = n;
    for (int i = 0; i < 4 && !rrsets.containsKey(type) && rrsets.containsKey(Type.CNAME); i++) {
      Record alias = rrsets.get(Type.CNAME).get(0);
      m.addRecord(alias, Section.ANSWER);
      owner = ((org.xbill.DNS.CNAMERecord) alias).getTarget();
      rrsets = records.getOrDefault(owner, Map.of());
    }
    List<Record> found = rrsets.getOrDefault(type, List.of());
    found.forEach(r -> m.addRecord(r, Section.ANSWER));
    if (found.isEmpty()) {
      m.addRecord(soa(), Section.AUTHORITY);
    } else if (additional && type == Type.PTR) {
      for (Record r : found) {
        Name instance = ((PTRRecord) r).getTarget();
        records.getOrDefault(instance, Map.of()).values().forEach(all -> all.forEach(x -> {
          m.addRecord(x, Section.ADDITIONAL);
          if (x instanceof org.xbill.DNS.SRVRecord s) {
            records.getOrDefault(s.getTarget(), Map.of()).values().forEach(w -> w.forEach(y -> m.addRecord(y, Section.ADDITIONAL)));
          }
        }));
      }
    }
    send(a, m);
  }

  private SOARecord soa() {
    return new SOARecord(origin, DClass.IN, ttl, name("ns." + origin), name("admin." + origin), serial, 60, 10, 3600, Math.min(ttl, 5));
  }

  private void send(StandInDns.ReceivedQuery a, Message m) {
    if (authoritative) {
      m.getHeader().setFlag(Flags.AA);
    }
    byte[] wire = m.toWire(65_535);
    OPTRecord opt = a.message().getOPT();
    int maxBytes = a.isTcp() ? 65_535 : opt == null ? 512 : opt.getPayloadSize();
    if (wire.length > maxBytes || m.getHeader().getFlag(Flags.TC)) {
      a.reply(a.truncated());
    } else {
      a.reply(wire);
    }
  }

  // ---- Updates -------------------------------------------------------------------------------------------

  private synchronized void update(StandInDns.ReceivedQuery a, Message m) {
    int rcode = Rcode.NOERROR;
    TSIGRecord signed = m.getTSIG();
    if (key != null) {
      rcode = signed == null ? Rcode.REFUSED : verify(a.octets(), signed);
    }
    Message answer = new Message(m.getHeader().getID());
    answer.getHeader().setOpcode(Opcode.UPDATE);
    answer.getHeader().setFlag(Flags.QR);
    answer.addRecord(m.getQuestion(), Section.QUESTION);
    if (rcode == Rcode.NOERROR && fault == Fault.NONE) {
      for (Record r : m.getSection(Section.UPDATE)) {
        updates.add(Type.string(r.getType()) + ' ' + DClass.string(r.getDClass()) + ' ' + r.getName());
        if (r.getDClass() == DClass.ANY) {
          remove(r.getName(), r.getType());
        } else if (r.getDClass() == DClass.NONE) {
          remove(Record.newRecord(r.getName(), r.getType(), DClass.IN, 0, r.rdataToWireCanonical()));
        } else {
          add(r);
        }
      }
      serial++;
      for (EDNSOption o : m.getOPT() == null ? List.<EDNSOption>of() : m.getOPT().getOptions(LEASE_OPTION)) {
        byte[] option = o.toWire(); // Code and length, then the data.
        byte[] requested = java.util.Arrays.copyOfRange(option, 4, option.length);
        byte[] granted = grantedLeaseSeconds == 0 ? requested : new byte[] {0, 0, (byte) (grantedLeaseSeconds >> 8), (byte) grantedLeaseSeconds};
        answer.addRecord(new OPTRecord(1232, 0, 0, 0, List.of(new GenericEDNSOption(LEASE_OPTION, granted))), Section.ADDITIONAL);
      }
    }
    answer.getHeader().setRcode(rcode != Rcode.NOERROR ? rcode == Rcode.REFUSED ? rcode : Rcode.NOTAUTH
        : fault == Fault.NONE ? Rcode.NOERROR : Rcode.SERVFAIL);
    if (key != null && signed != null && rcode == Rcode.NOERROR) {
      answer.setTSIG(key, Rcode.NOERROR, signed);
    }
    a.reply(answer.toWire(65_535));
  }

  /** Verifies a message under the id it was signed with: a forwarder may have replaced the id (RFC 8945, 5.1). */
  private int verify(byte[] octets, TSIGRecord signed) {
    octets[0] = (byte) (signed.getOriginalID() >> 8);
    octets[1] = (byte) signed.getOriginalID();
    try {
      return key.verify(new Message(octets), octets, null);
    } catch (IOException e) {
      return Rcode.FORMERR;
    }
  }

  // ---- Push ----------------------------------------------------------------------------------------------

  private synchronized void handleSession(StandInDns.ReceivedQuery a) {
    byte[] b = a.octets();
    int id = (b[0] & 0xFF) << 8 | b[1] & 0xFF;
    int type = (b[12] & 0xFF) << 8 | b[13] & 0xFF;
    if (!push || !a.isTcp()) {
      a.reply(header(id, true, Rcode.NOTIMP));
    } else if (type == SUBSCRIBE) {
      try {
        byte[] wire = java.util.Arrays.copyOfRange(b, 16, b.length - 4);
        Subscription s = new Subscription(a, id, new Name(wire), (b[b.length - 4] & 0xFF) << 8 | b[b.length - 3] & 0xFF);
        subscriptions.add(s);
        a.reply(header(id, true, Rcode.NOERROR));
        // RFC 8765, 6.3: the existing records are pushed first.
        records.getOrDefault(s.name, Map.of()).forEach((t, all) -> {
          if (s.type == t || s.type == 255) {
            all.forEach(r -> pushTo(s, t, r, false));
          }
        });
      } catch (IOException e) {
        a.reply(header(id, true, Rcode.FORMERR));
      }
    } else if (type == UNSUBSCRIBE) {
      int subscriptionId = (b[16] & 0xFF) << 8 | b[17] & 0xFF;
      subscriptions.removeIf(s -> s.session.hasSameChannel(a) && s.id == subscriptionId);
    } else if (type == KEEPALIVE) {
      byte[] answer = new byte[24];
      System.arraycopy(header(id, true, Rcode.NOERROR), 0, answer, 0, 12);
      answer[13] = KEEPALIVE;
      answer[15] = 8;
      answer[18] = 0x3A;
      answer[22] = 0x3A;
      a.reply(answer);
    } else {
      a.reply(header(id, true, 11));
    }
  }

  private static byte[] header(int id, boolean response, int rcode) {
    byte[] b = new byte[12];
    b[0] = (byte) (id >> 8);
    b[1] = (byte) id;
    b[2] = (byte) (DSO << 3 | (response ? 0x80 : 0));
    b[3] = (byte) rcode;
    return b;
  }

  private void notifySubscribers(Name n, int type, Record r, boolean removed) {
    for (Subscription s : List.copyOf(subscriptions)) {
      if (s.name.equals(n) && (s.type == type || s.type == 255)) {
        pushTo(s, type, r, removed);
      }
    }
  }

  private static void pushTo(Subscription s, int type, Record r, boolean removed) {
    ByteArrayOutputStream value = new ByteArrayOutputStream();
    byte[] data = r == null ? new byte[0] : r.rdataToWireCanonical();
    value.writeBytes(s.name.toWire());
    long ttl = removed ? r == null ? 0xFFFF_FFFEL : 0xFFFF_FFFFL : r.getTTL();
    value.writeBytes(new byte[] {(byte) (type >> 8), (byte) type, 0, 1, (byte) (ttl >> 24), (byte) (ttl >> 16), (byte) (ttl >> 8),
      (byte) ttl, (byte) (data.length >> 8), (byte) data.length});
    value.writeBytes(data);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(header(0, false, 0));
    out.writeBytes(new byte[] {0, PUSH, (byte) (value.size() >> 8), (byte) value.size()});
    out.writeBytes(value.toByteArray());
    s.session.reply(out.toByteArray());
  }

  /** Returns the number of active subscriptions. */
  public synchronized int subscriptions() {
    return subscriptions.size();
  }

  /** Resets all sessions that have subscriptions. */
  public synchronized void endSessions() {
    Set<StandInDns.ReceivedQuery> sessions = new HashSet<>();
    subscriptions.forEach(s -> sessions.add(s.session));
    subscriptions.clear();
    sessions.forEach(StandInDns.ReceivedQuery::reset);
  }

  /** Returns all records of a name in zone file format. */
  public synchronized List<String> recordsAt(String owner) {
    List<String> all = new ArrayList<>();
    records.getOrDefault(name(owner), Map.of()).values().forEach(r -> r.forEach(x -> all.add(x.toString())));
    return all;
  }

  @Override
  public void close() {
    server.close();
  }
}
