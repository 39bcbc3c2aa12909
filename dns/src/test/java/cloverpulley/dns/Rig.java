package cloverpulley.dns;

import cloverpulley.config.ConfigFile;
import cloverpulley.config.InvalidConfigException;
import cloverpulley.config.Section;
import cloverpulley.config.ServiceSection;
import cloverpulley.fleet.FleetSource;
import cloverpulley.standins.StandInDns;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/** A test rig: a DNS frontend on an ephemeral port, configured from an operators' file, with stand-in servers and test clients. */
final class Rig implements AutoCloseable {

  /** A generous timeout for expected events. No test passes by reaching it. */
  static final int TIMEOUT_S = 20;

  static final String CLASSES = """
      [[class]]
      name = "rate-lookup"
      effect = "safe"
      aim_ms = 400
      deadline_ms = 2000
      [dns.service]
      zone = "a"
      [[dns.class]]
      name = "query"
      effect = "safe"
      aim_ms = 10000
      deadline_ms = 20000
      [[dns.class]]
      name = "brief"
      effect = "safe"
      aim_ms = 300
      deadline_ms = 600
      [[dns.class]]
      name = "update"
      effect = "unsafe"
      aim_ms = 10000
      deadline_ms = 20000
      [[dns.class]]
      name = "notify"
      effect = "keyed"
      dedup_window_ms = 4000
      aim_ms = 10000
      deadline_ms = 20000
      [[dns.match]]
      types = ["MX"]
      class = "brief"
      """;

  /** A parsed operators' file. */
  record ParsedConfig(DnsConfig dns, FleetSource published) {
    static ParsedConfig read(Section file) {
      var service = ServiceSection.read(file);
      return new ParsedConfig(DnsConfig.read(file.table("dns"), service), file.has("fleet") ? FleetSource.read(file.table("fleet")) : null);
    }
  }

  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<AutoCloseable> resources = new java.util.concurrent.CopyOnWriteArrayList<>();
  DnsServer server;

  static ParsedConfig parse(String dns, String rest) throws InvalidConfigException {
    // Arrays of tables come first, preceded by the keys of [dns].
    return ConfigFile.parse("test", "[dns]\nlisten = \"127.0.0.1:0\"\n" + dns + "\n" + CLASSES + rest, ParsedConfig::read);
  }

  /** Starts a frontend. {@code dns} has lines of the [dns] section, {@code rest} further tables. */
  DnsServer start(String dns, String rest) throws InvalidConfigException, IOException {
    ParsedConfig parsed = parse(dns, rest);
    server = keep(DnsServer.start(parsed.dns, parsed.published, 7));
    return server;
  }

  /** Starts a frontend for these servers. */
  DnsServer start(String dns, String rest, StandInDns... servers) throws InvalidConfigException, IOException {
    return start(dns, rest + servers(servers));
  }

  /** Starts a frontend on the port of another, which may still be listening. */
  DnsServer startOnPort(InetSocketAddress address, String dns, String rest) throws InvalidConfigException, IOException {
    ParsedConfig parsed = ConfigFile.parse("test", "[dns]\nlisten = \"127.0.0.1:" + address.getPort() + "\"\n" + dns + "\n" + CLASSES + rest,
        ParsedConfig::read);
    return keep(DnsServer.start(parsed.dns, parsed.published, 8));
  }

  static String servers(StandInDns... servers) {
    StringBuilder text = new StringBuilder("[dns.fleet]\n");
    for (int i = 0; i < servers.length; i++) {
      text.append(server("d" + i, servers[i].hostPort(), "ready"));
    }
    return text.toString();
  }

  static String server(String id, String address, String phase) {
    return "[[dns.fleet.server]]\nid = \"" + id + "\"\naddress = \"" + address + "\"\nzone = \"a\"\nphase = \"" + phase + "\"\n";
  }

  StandInDns dns(Consumer<StandInDns.ReceivedQuery> script) {
    return keep(new StandInDns(group, script));
  }

  <T extends AutoCloseable> T keep(T closeable) {
    resources.add(0, closeable);
    return closeable;
  }

  /** Registers a resource to close; may be called from any thread. */
  void keepConcurrently(AutoCloseable closeable) {
    resources.add(0, closeable);
  }

  /** Waits for a condition. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  void awaitIdle() throws InterruptedException {
    await("no pending requests", () -> server.pendingRequests() == 0);
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable c : resources) {
      c.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // ---- Messages ------------------------------------------------------------------------------------------

  /** A query with RD set and without EDNS. */
  static Message question(int id, String name, int type) {
    try {
      Message m = Message.newQuery(Record.newRecord(Name.fromString(name), type, DClass.IN));
      m.getHeader().setID(id);
      return m;
    } catch (TextParseException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static Message question(int id, String name) {
    return question(id, name, Type.A);
  }

  /** Adds an OPT record. */
  static Message edns(Message m, int size, int flags, org.xbill.DNS.EDNSOption... options) {
    m.addRecord(new OPTRecord(size, 0, 0, flags, Arrays.asList(options)), org.xbill.DNS.Section.ADDITIONAL);
    return m;
  }

  static String text(Message answer) {
    List<Record> records = answer.getSection(org.xbill.DNS.Section.ANSWER);
    return records.isEmpty() ? "" : records.get(0).rdataToString();
  }

  /** The extended error code of an answer; -1 for none. */
  static int error(Message answer) {
    if (answer.getOPT() != null) {
      for (var option : answer.getOPT().getOptions()) {
        if (option instanceof ExtendedErrorCodeOption e) {
          return e.getErrorCode();
        }
      }
    }
    return -1;
  }

  // ---- Clients -------------------------------------------------------------------------------------------

  /** A UDP client with its own port. */
  static final class Udp implements AutoCloseable {

    private final DatagramSocket socket;

    Udp(InetSocketAddress to) throws IOException {
      this(to, "127.0.0.1");
    }

    Udp(InetSocketAddress to, String from) throws IOException {
      socket = new DatagramSocket(0, InetAddress.getByName(from));
      socket.connect(to);
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    }

    Udp send(byte[] octets) throws IOException {
      socket.send(new DatagramPacket(octets, octets.length));
      return this;
    }

    Udp send(Message m) throws IOException {
      return send(m.toWire(65_535));
    }

    void timeout(int millis) throws IOException {
      socket.setSoTimeout(millis);
    }

    byte[] octets() throws IOException {
      DatagramPacket p = new DatagramPacket(new byte[65_535], 65_535);
      socket.receive(p);
      return Arrays.copyOf(p.getData(), p.getLength());
    }

    Message answer() throws IOException {
      return new Message(octets());
    }

    Message ask(Message m) throws IOException {
      return send(m).answer();
    }

    /** Asserts that no more answers are queued, by sending a marker query whose answer must come next. */
    void assertNoMoreAnswers(InetSocketAddress server) throws IOException {
      byte[] last = question(0xFFFF, "marker.example.").toWire(512);
      last[2] |= 0x10; // Opcode STATUS is answered at once.
      send(last);
      Message m = answer();
      if (m.getHeader().getID() != 0xFFFF) {
        throw new AssertionError("unexpected answer: " + m);
      }
    }

    @Override
    public void close() {
      socket.close();
    }
  }

  /** A TCP client. */
  static final class Tcp implements AutoCloseable {

    final Socket socket = new Socket();
    private final DataInputStream in;

    Tcp(InetSocketAddress to) throws IOException {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      socket.connect(to);
      in = new DataInputStream(socket.getInputStream());
    }

    static byte[] framed(byte[] octets) {
      byte[] framed = new byte[2 + octets.length];
      framed[0] = (byte) (octets.length >> 8);
      framed[1] = (byte) octets.length;
      System.arraycopy(octets, 0, framed, 2, octets.length);
      return framed;
    }

    Tcp write(byte[] raw) throws IOException {
      socket.getOutputStream().write(raw);
      return this;
    }

    Tcp send(Message m) throws IOException {
      return write(framed(m.toWire(65_535)));
    }

    Message answer() throws IOException {
      byte[] octets = new byte[in.readUnsignedShort()];
      in.readFully(octets);
      return new Message(octets);
    }

    Message ask(Message m) throws IOException {
      return send(m).answer();
    }

    /** Whether the server closes the connection without sending another answer. */
    boolean ends() throws IOException {
      try {
        return in.read() < 0;
      } catch (EOFException | java.net.SocketException e) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
