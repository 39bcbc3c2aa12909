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
 * Asks a front of its own, beside the one that will serve, before that one listens. Guards the first seconds of a restart under load:
 * code that is not compiled yet takes several times as long, and clients would be refused for it.
 */
public final class Warmup {

  private static final Logger LOG = Logger.getLogger(Warmup.class.getName());

  private static final int WINDOW = 32;
  private static final int MOST_DATAGRAM = 4096;
  private static final int PATIENCE_MILLIS = 1000;
  /** Every so many names comes again while it is kept, for the cache's ways. */
  private static final int AGAIN = 4;
  private static final int ADDRESS = 1;

  private Warmup() {}

  /** Asks so many questions; returns how many were answered. What goes wrong here is no reason not to start. */
  public static int run(DnsConfig config, int queries) {
    if (queries == 0 || config.fleet() == null) {
      return 0;
    }
    AtomicBoolean over = new AtomicBoolean();
    InetAddress here = InetAddress.getLoopbackAddress();
    try (DatagramSocket responder = new DatagramSocket(0, here); DatagramSocket client = new DatagramSocket(0, here)) {
      Thread answering = new Thread(() -> respond(responder, over), "dns warm-up");
      answering.setDaemon(true);
      answering.start();
      Server server = new Server("warm-up", new InetSocketAddress(here, responder.getLocalPort()), config.settings().zone(), 0,
          State.READY, 1, 0);
      try (DnsServer front = DnsServer.start(config.aside(new FleetSource(null, null, new ServerList(0, true, List.of(server)))), null, 1)) {
        client.connect(front.address());
        client.setSoTimeout(PATIENCE_MILLIS);
        return ask(client, queries);
      }
    } catch (IOException e) {
      LOG.warning("not warmed up: " + e.getMessage());
      return 0;
    } finally {
      over.set(true);
    }
  }

  private static int ask(DatagramSocket client, int queries) throws IOException {
    byte[] opt = new Edns.Writer(1232, 0, false).bytes();
    DatagramPacket answer = new DatagramPacket(new byte[MOST_DATAGRAM], MOST_DATAGRAM);
    int answered = 0;
    try {
      for (int sent = 0; sent < queries; sent++) {
        int name = sent % AGAIN == 0 ? sent / 100 : sent;
        byte[] q = Message.query(sent & 0xFFFF, Message.RD, new Question(Names.of("n" + name + ".warm-up.invalid."), ADDRESS, Message.IN), opt);
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
      // A datagram is lost, or the machine is slow: it is warm enough.
    }
    return answered;
  }

  private static void respond(DatagramSocket socket, AtomicBoolean over) {
    byte[] buffer = new byte[MOST_DATAGRAM];
    while (!over.get()) {
      try {
        DatagramPacket p = new DatagramPacket(buffer, buffer.length);
        socket.receive(p);
        byte[] answer = answer(Message.read(Arrays.copyOf(buffer, p.getLength())));
        socket.send(new DatagramPacket(answer, answer.length, p.getSocketAddress()));
      } catch (MalformedException e) {
        // A stray datagram.
      } catch (IOException e) {
        return; // Closed: it is over.
      }
    }
  }

  /** One address record. */
  private static byte[] answer(Message m) {
    int end = m.questionEnd();
    byte[] to = Arrays.copyOf(Arrays.copyOf(m.bytes(), end), end + 16);
    Message.put16(to, 2, 0x8000 | Message.RD | Message.RA);
    to[7] = 1;
    to[11] = 0;
    Message.put16(to, end, 0xC000 | Message.HEADER_LENGTH);
    Message.put16(to, end + 2, ADDRESS);
    Message.put16(to, end + 4, Message.IN);
    Message.put32(to, end + 6, 60);
    Message.put16(to, end + 10, 4);
    return to;
  }
}
