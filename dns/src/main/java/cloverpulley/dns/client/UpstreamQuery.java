package cloverpulley.dns.client;

import cloverpulley.Balancer.Status;
import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.Future;

/**
 * A query to one server, including its fallbacks: over UDP, without EDNS, over TCP. They share one timeout, and the query completes
 * once; later responses are ignored.
 */
public final class UpstreamQuery {

  /**
   * The message to send.
   *
   * @param raw a message to forward unmodified except for its id, such as an UPDATE; null to build a query from the question
   * @param flags the header flags, if {@code raw} is null
   * @param tcp whether to use TCP from the start: for messages that must not run twice, since only a connection can tell that
   *     nothing was sent
   */
  public record Spec(byte[] raw, Question question, int flags, boolean dnssecOk, boolean tcp) {}

  /** Called once on completion. The answer, with any response code, is present with {@link Status#SERVED} and null otherwise. */
  public interface Callback {
    void onComplete(Status status, Message answer, String reason);
  }

  final Spec spec;
  final ServerConnections server;
  private final Callback callback;
  Future<?> timer;
  /** The question as last sent. */
  private Question sentQuestion;
  private boolean useEdns;
  private int mismatches;
  /** Whether an answer came that led to a fallback: the query has run. */
  private boolean answered;
  private boolean ended;
  /** The socket or connection on which the query is pending; at most one is set. */
  UdpSocket socket;
  TcpConnection connection;
  /** The message id on the UDP socket. */
  int udpId;
  /** The write to a connection; succeeds once the last byte has been written to the socket. */
  ChannelFuture writeFuture;

  UpstreamQuery(Spec spec, ServerConnections server, Callback callback) {
    this.spec = spec;
    this.server = server;
    this.callback = callback;
  }

  public boolean isEnded() {
    return ended;
  }

  /** Whether the server may have read the query from its last connection. */
  boolean isSent() {
    return writeFuture != null && writeFuture.isSuccess();
  }

  /** Whether the query is still queued for a connection. Once written to an open connection it may still be read, however late. */
  private boolean isQueued() {
    return connection != null && writeFuture == null;
  }

  /** Cancels the query: it completes as cancelled, or as not sent if it was not. */
  public void cancel() {
    boolean notSent = isQueued() && !answered;
    end(notSent ? Status.NOT_SENT : Status.CANCELLED, null, "cancelled");
  }

  void timedOut() {
    // A truncated answer proves that the query ran; otherwise, a query still queued did not.
    boolean notSent = isQueued() && !answered;
    end(notSent && connection.isConnecting() ? Status.CONNECT_FAILED : notSent ? Status.NOT_SENT : Status.TIMEOUT, null, "timed out");
  }

  void end(Status status, Message answer, String reason) {
    if (ended) {
      return;
    }
    ended = true;
    timer.cancel(false);
    if (socket != null) {
      socket.release(this, answer != null);
    }
    if (connection != null) {
      connection.release(this);
    }
    callback.onComplete(status, answer, reason);
  }

  // ---- Sending -------------------------------------------------------------------------------------------

  void start(long now) {
    useEdns = spec.raw() == null && server.client.capabilities.mayUseEdns(now, server.number);
    if (spec.tcp()) {
      startTcp();
    } else {
      startUdp(now);
    }
  }

  private void startUdp(long now) {
    server.sendOverUdp(this, now);
  }

  private void startTcp() {
    if (socket != null) {
      socket.release(this, answered);
    }
    if (answered && server.draining) {
      end(Status.ERROR, null, "server is draining, fallback not attempted");
    } else {
      server.sendOverTcp(this);
    }
  }

  /** Builds the message to send under an id. */
  byte[] message(int newId, boolean udp, long now) {
    if (spec.raw() != null) {
      byte[] copy = spec.raw().clone();
      Message.put16(copy, 0, newId);
      sentQuestion = spec.question();
      return copy;
    }
    boolean randomizeCase = server.client.config.mixCase() && server.client.capabilities.mayMixCase(now, server.number);
    sentQuestion = randomizeCase ? new Question(server.client.random.randomizeCase(spec.question().name()), spec.question().type(),
        spec.question().dnsClass()) : spec.question();
    int udpSize = server.client.config.udpSize();
    return Message.query(newId, spec.flags(), sentQuestion, useEdns ? new Edns.Writer(udpSize, 0, spec.dnssecOk()).bytes() : null);
  }

  /** Fails the query because it could not be sent; as an error if an earlier unusable answer shows that it ran. */
  void failUnsent(Status status, String reason) {
    end(answered ? Status.ERROR : status, null, reason);
  }

  // ---- Responses -----------------------------------------------------------------------------------------

  /** Whether a message with the query's id is an answer to it. */
  private boolean isAnswer(Message m) {
    boolean noQuestion = m.question() == null && (spec.raw() != null || m.rcode() == Message.FORMERR || m.rcode() == Message.NOTIMP);
    return m.isResponse() && m.opcode() == (spec.raw() == null ? Message.QUERY : Message.opcode(spec.raw()))
        && (noQuestion || sentQuestion.equals(m.question()));
  }

  /** Handles a datagram from the server with the query's id; {@code m} is null if it is malformed. */
  void onDatagram(Message m, long now) {
    if (m == null || !isAnswer(m)) {
      onMismatch();
    } else if (m.question() != null && !m.question().hasSameCase(sentQuestion)) {
      // Forged, or from a server that doesn't preserve case: retry over TCP to find out.
      server.client.counts.wrong++;
      server.client.counts.suspicious++;
      answered = true;
      startTcp();
    } else if (m.has(Message.TC)) {
      server.client.counts.truncated++;
      answered = true;
      startTcp();
    } else if (rejectsEdns(m)) {
      retryWithoutEdns(now);
    } else {
      end(Status.SERVED, m, "");
    }
  }

  private void onMismatch() {
    server.client.counts.wrong++;
    if (++mismatches == server.client.config.maxMismatches() && spec.raw() == null) {
      // Probably an attacker guessing ids, who would go on to guess over UDP.
      server.client.counts.suspicious++;
      startTcp();
    }
  }

  private boolean rejectsEdns(Message m) {
    return useEdns && m.edns() == null && (m.rcode() == Message.FORMERR || m.rcode() == Message.NOTIMP);
  }

  private void retryWithoutEdns(long now) {
    server.client.capabilities.markNoEdns(now, server.number);
    server.client.counts.plain++;
    answered = true;
    useEdns = false;
    boolean tcp = connection != null;
    if (socket != null) {
      socket.release(this, true);
    }
    if (connection != null) {
      connection.release(this);
    }
    if (server.draining) {
      end(Status.ERROR, null, "server is draining, fallback not attempted");
    } else if (tcp) {
      server.sendOverTcp(this);
    } else {
      startUdp(now);
    }
  }

  /** Handles a message with the query's id from the TCP connection. Returns false if the connection must be closed. */
  boolean onTcpMessage(Message m, long now) {
    if (!isAnswer(m)) {
      end(Status.ERROR, null, "answer to a different question");
      return false;
    }
    if (m.question() != null && !m.question().hasSameCase(sentQuestion)) {
      server.client.capabilities.markCaseNotPreserved(now, server.number);
    }
    if (m.has(Message.TC)) {
      end(Status.ERROR, null, "truncated over TCP");
    } else if (rejectsEdns(m)) {
      retryWithoutEdns(now);
    } else {
      end(Status.SERVED, m, "");
    }
    return true;
  }
}
