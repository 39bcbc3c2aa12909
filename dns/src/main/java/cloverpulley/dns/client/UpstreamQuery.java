package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.Future;

/**
 * One query to one server, through all of its legs: over UDP, without EDNS, over TCP. The legs share one time-out and have one
 * end, whatever comes after it.
 */
public final class UpstreamQuery {

  /**
   * What is asked.
   *
   * @param raw a message to be passed on as it is but for its id, such as an UPDATE; null for a question of our own wording
   * @param flags of the header, for a question of our own
   * @param tcp whether it goes over TCP from the first: for what may not run twice, since only a connection can tell that
   *     nothing was sent
   */
  public record Spec(byte[] raw, Question question, int flags, boolean dnssecOk, boolean tcp) {}

  /** Told once how it ended: with {@link Status#SERVED} an answer came, whatever its code; without, it is null. */
  public interface Callback {
    void ended(Status status, Message answer, String why);
  }

  final Spec asked;
  final ServerConnections server;
  private final Callback done;
  Future<?> timer;
  /** The question as it was last written. */
  private Question written;
  private boolean edns;
  private int wrong;
  private boolean answeredOnce;
  private boolean ended;
  /** Where it waits now: one of them or none. */
  UdpSocket port;
  TcpConnection link;
  /** The id under which it waits at its port. */
  int udpId;
  /** Its writing to a connection; done well once its last octet has gone to the socket. */
  ChannelFuture writing;

  UpstreamQuery(Spec asked, ServerConnections server, Callback done) {
    this.asked = asked;
    this.server = server;
    this.done = done;
  }

  public boolean isEnded() {
    return ended;
  }

  /** Whether the server may have read it from the connection it was put on last. */
  boolean isOut() {
    return writing != null && writing.isSuccess();
  }

  /** Whether it still waits here: what was handed to a connection that stays open may be read yet, however late. */
  private boolean isQueued() {
    return link != null && writing == null;
  }

  /** Nobody waits any more; it ends as called off, or as never sent where it was not. */
  public void cancel() {
    boolean notSent = isQueued() && !answeredOnce;
    end(notSent ? Status.NOT_SENT : Status.CANCELLED, null, "called off");
  }

  void timedOut() {
    // An answer that did not fit proves that it ran; otherwise what never left the connection did not.
    boolean notSent = isQueued() && !answeredOnce;
    end(notSent && link.isConnecting() ? Status.CONNECT_FAILED : notSent ? Status.NOT_SENT : Status.TIMEOUT, null, "no answer in time");
  }

  void end(Status status, Message answer, String why) {
    if (ended) {
      return;
    }
    ended = true;
    timer.cancel(false);
    if (port != null) {
      port.giveUp(this, answer != null);
    }
    if (link != null) {
      link.giveUp(this);
    }
    done.ended(status, answer, why);
  }

  // ---- Legs ----------------------------------------------------------------------------------------------

  void start(long now) {
    edns = asked.raw() == null && server.client.traits.mayUseEdns(now, server.number);
    if (asked.tcp()) {
      overTcp();
    } else {
      overUdp(now);
    }
  }

  private void overUdp(long now) {
    server.udp(this, now);
  }

  private void overTcp() {
    if (port != null) {
      port.giveUp(this, answeredOnce);
    }
    if (answeredOnce && server.withdrawn) {
      end(Status.ERROR, null, "the server drains before the second leg");
    } else {
      server.tcp(this);
    }
  }

  /** The octets to write under an id; over TCP the case is left as asked, the connection vouches for the server. */
  byte[] message(int newId, boolean udp, long now) {
    if (asked.raw() != null) {
      byte[] copy = asked.raw().clone();
      Message.put16(copy, 0, newId);
      written = asked.question();
      return copy;
    }
    boolean mix = server.client.config.mixCase() && server.client.traits.mayMixCase(now, server.number);
    written = mix ? new Question(server.client.random.mix(asked.question().name()), asked.question().type(),
        asked.question().dnsClass()) : asked.question();
    int size = server.client.config.udpSize();
    return Message.query(newId, asked.flags(), written, edns ? new Edns.Writer(size, 0, asked.dnssecOk()).bytes() : null);
  }

  /** It could not be sent over this leg; after an answer that was no use it has run all the same. */
  void notSent(Status status, String why) {
    end(answeredOnce ? Status.ERROR : status, null, why);
  }

  // ---- Answers -------------------------------------------------------------------------------------------

  /** Whether a message that bears its id can be its answer at all. */
  private boolean isAnswer(Message m) {
    boolean bare = m.question() == null && (asked.raw() != null || m.rcode() == Message.FORMERR || m.rcode() == Message.NOTIMP);
    return m.isResponse() && m.opcode() == (asked.raw() == null ? Message.QUERY : Message.opcode(asked.raw()))
        && (bare || written.equals(m.question()));
  }

  /** A datagram from the server asked has come under its id; null for one that can't be read. */
  void datagram(Message m, long now) {
    if (m == null || !isAnswer(m)) {
      wrong();
    } else if (m.question() != null && !m.question().hasCaseOf(written)) {
      // Forged, or from a server that loses the case: a connection tells.
      server.client.counts.wrong++;
      server.client.counts.suspicious++;
      answeredOnce = true;
      overTcp();
    } else if (m.has(Message.TC)) {
      server.client.counts.truncated++;
      answeredOnce = true;
      overTcp();
    } else if (refusesEdns(m)) {
      withoutEdns(now);
    } else {
      end(Status.SERVED, m, "");
    }
  }

  private void wrong() {
    server.client.counts.wrong++;
    if (++wrong == server.client.config.wrongMost() && asked.raw() == null) {
      // Somebody is guessing: the next guesses would be as good.
      server.client.counts.suspicious++;
      overTcp();
    }
  }

  private boolean refusesEdns(Message m) {
    return edns && m.edns() == null && (m.rcode() == Message.FORMERR || m.rcode() == Message.NOTIMP);
  }

  private void withoutEdns(long now) {
    server.client.traits.markNoEdns(now, server.number);
    server.client.counts.plain++;
    answeredOnce = true;
    edns = false;
    boolean tcp = link != null;
    if (port != null) {
      port.giveUp(this, true);
    }
    if (link != null) {
      link.giveUp(this);
    }
    if (server.withdrawn) {
      end(Status.ERROR, null, "the server drains before the second leg");
    } else if (tcp) {
      server.tcp(this);
    } else {
      overUdp(now);
    }
  }

  /** A message has come under its id over the connection; false where the connection is not to be trusted any more. */
  boolean overConnection(Message m, long now) {
    if (!isAnswer(m)) {
      end(Status.ERROR, null, "an answer to another question");
      return false;
    }
    if (m.question() != null && !m.question().hasCaseOf(written)) {
      server.client.traits.markCaseNotPreserved(now, server.number);
    }
    if (m.has(Message.TC)) {
      end(Status.ERROR, null, "truncated over TCP as well");
    } else if (refusesEdns(m)) {
      withoutEdns(now);
    } else {
      end(Status.SERVED, m, "");
    }
    return true;
  }
}
