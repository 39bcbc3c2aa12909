package cloverpulley.dns;

import cloverpulley.Balancer.State;
import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.MalformedException;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Names;
import cloverpulley.dns.wire.Question;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.fleet.FleetSource;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;

/**
 * Warms up the JIT compiler with queries to a temporary frontend before the real one listens. Guards the first seconds of a restart under
 * load: code that is not compiled yet takes several times as long, and client queries would be rejected.
 */
public final class Warmup {

  private static final Logger LOG = Logger.getLogger(Warmup.class.getName());

  private static final int WINDOW = 32;
  private static final int MAX_DATAGRAM = 4096;
  private static final int RECEIVE_TIMEOUT_MILLIS = 1000;
  /** Every n-th query repeats an earlier name that is still cached, to exercise the cache. */
  private static final int REPEAT_EVERY = 4;
  private static final int TYPE_A = 1;

  private Warmup() {}

  /** Sends {@code queries} queries and returns how many were answered. Failures don't prevent the start. */
  public static int run(DnsConfig config, int queries) {
    if (queries == 0 || config.fleet() == null) {
      return 0;
    }
    AtomicBoolean stopped = new AtomicBoolean();
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (DatagramSocket responder = new DatagramSocket(0, loopback); DatagramSocket client = new DatagramSocket(0, loopback)) {
      Thread responderThread = new Thread(() -> respond(responder, stopped), "dns warm-up");
      responderThread.setDaemon(true);
      responderThread.start();
      Server server = new Server("warm-up", new InetSocketAddress(loopback, responder.getLocalPort()), config.settings().zone(), 0,
          State.READY, 1, 0);
      try (DnsServer frontend = DnsServer.start(config.forWarmup(new FleetSource(null, null, new ServerList(0, true, List.of(server)))), null, 1)) {
        client.connect(frontend.address());
        client.setSoTimeout(RECEIVE_TIMEOUT_MILLIS);
        return sendQueries(client, queries);
      }
    } catch (IOException e) {
      LOG.warning("not warmed up: " + e.getMessage());
      return 0;
    } finally {
      stopped.set(true);
    }
  }

  private static int sendQueries(DatagramSocket client, int queries) throws IOException {
    byte[] opt = new Edns.Writer(1232, 0, false).bytes();
    DatagramPacket answer = new DatagramPacket(new byte[MAX_DATAGRAM], MAX_DATAGRAM);
    int answered = 0;
    try {
      for (int sent = 0; sent < queries; sent++) {
        int name = sent % REPEAT_EVERY == 0 ? sent / 100 : sent;
        byte[] q = Message.query(sent & 0xFFFF, Message.RD, new Question(Names.of("n" + name + ".warm-up.invalid."), TYPE_A, Message.IN), opt);
        client.send(new DatagramPacket(q, q.length));
        if (sent - answered >= WINDOW) {
          client.receive(answer);
          answered++;
        }
      }
      while (answered < queries) {
        client.receive(answer);
        answered++;
      }
    } catch (SocketTimeoutException e) {
      // A datagram was lost or the machine is slow: stop the warm-up here.
    }
    return answered;
  }

  private static void respond(DatagramSocket socket, AtomicBoolean stopped) {
    byte[] buffer = new byte[MAX_DATAGRAM];
    while (!stopped.get()) {
      try {
        DatagramPacket p = new DatagramPacket(buffer, buffer.length);
        socket.receive(p);
        byte[] answer = answer(Message.read(Arrays.copyOf(buffer, p.getLength())));
        socket.send(new DatagramPacket(answer, answer.length, p.getSocketAddress()));
      } catch (MalformedException e) {
        // Ignore stray datagrams.
      } catch (IOException e) {
        return; // The socket was closed.
      }
    }
  }

  /** A response with one A record. */
  private static byte[] answer(Message m) {
    int end = m.questionEnd();
    byte[] to = Arrays.copyOf(Arrays.copyOf(m.bytes(), end), end + 16);
    Message.put16(to, 2, 0x8000 | Message.RD | Message.RA);
    to[7] = 1;
    to[11] = 0;
    Message.put16(to, end, 0xC000 | Message.HEADER_LENGTH);
    Message.put16(to, end + 2, TYPE_A);
    Message.put16(to, end + 4, Message.IN);
    Message.put32(to, end + 6, 60);
    Message.put16(to, end + 10, 4);
    return to;
  }
}
