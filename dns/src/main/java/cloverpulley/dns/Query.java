package cloverpulley.dns;

import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import java.net.InetAddress;
import java.util.logging.Logger;

/** A client's message, and what its answer has to be like. */
final class Query {

  /** What a client without EDNS can take (RFC 1035, 4.2.1). */
  private static final int LEAST_UDP = 512;
  private static final Logger LOG = Logger.getLogger(Query.class.getName());

  /** Whoever sent it. */
  interface Client {

    /** Its address, and its port where one speaks of it. */
    InetAddress address();

    int port();

    boolean isTcp();

    /** Whether it can't be answered any more. */
    boolean isGone();

    /** Writes an answer; the octets are the client's from then on. */
    void answer(byte[] octets);

    /** A query of its own is worked on by an exchange, until {@link #answered}. */
    default void waits(Query query, DnsExchange by) {}

    default void answered(Query query) {}
  }

  final Message message;
  final Client client;
  final long arrivedAt;
  /** The cookie to give back; null for none. */
  byte[] cookie;
  String tenant;
  /** Why it has no answer of a server; null where it has. */
  String reason;
  private boolean answered;

  Query(Message message, Client client, long arrivedAt) {
    this.message = message;
    this.client = client;
    this.arrivedAt = arrivedAt;
  }

  Question question() {
    return message.question();
  }

  boolean speaksEdns() {
    return message.edns() != null;
  }

  boolean wantsDnssec() {
    return speaksEdns() && message.edns().dnssecOk();
  }

  boolean isAnswered() {
    return answered;
  }

  /** Gives the one answer; a second one is a defect and is not sent. */
  void answer(byte[] octets) {
    if (answered) {
      LOG.severe("a second answer to " + question() + " is not sent");
      return;
    }
    answered = true;
    if (!client.isGone()) {
      client.answer(octets);
      client.answered(this);
    }
  }

  /** The most octets that its answer may have. */
  private int most(int udpMost) {
    return client.isTcp() ? Message.MAX_LENGTH : speaksEdns() ? Math.min(udpMost, message.edns().udpSize()) : LEAST_UDP;
  }

  /** Whether an answer of so many octets can be given as it is. */
  boolean fits(int octets, Replies replies) {
    return octets <= most(replies.udpSize());
  }

  /** An OPT record for the answer; null for a client that sent none. */
  private Edns.Writer opt(Replies replies, int rcode) {
    if (!speaksEdns()) {
      return null;
    }
    Edns.Writer opt = new Edns.Writer(replies.udpSize(), rcode >> 4, wantsDnssec());
    if (cookie != null) {
      opt.cookie(cookie);
    }
    if (client.isTcp() && message.edns().keepalive()) {
      opt.keepalive(replies.keepaliveTenths()); // Over UDP there may be none: RFC 7828, 3.2.1.
    }
    return opt;
  }

  /** What answers are like in all. */
  record Replies(int udpSize, int keepaliveTenths) {}

  /** An answer without records; {@code errorCode} below 0 for no extended error. */
  byte[] empty(Replies replies, int flags, int rcode, int errorCode, String text) {
    Edns.Writer opt = opt(replies, rcode);
    if (opt != null && errorCode >= 0) {
      opt.error(errorCode, text);
    }
    int all = flags | message.opcode() << 11
        | (message.opcode() == Message.QUERY ? message.flags() & (Message.RD | Message.CD) | Message.RA : 0);
    return Message.empty(message.id(), all, rcode, question(), opt == null ? null : opt.bytes());
  }

  /**
   * An answer with records, aged and cut to what the client can take: without the additional section where that is enough, which is
   * no truncation (RFC 2181, 9), and else without any and with TC.
   */
  byte[] filled(Replies replies, ResponseTemplate body, long age, long mostTtl, boolean authoritative, int errorCode, String text) {
    Edns.Writer writer = opt(replies, body.rcode());
    if (writer != null && errorCode >= 0) {
      writer.error(errorCode, text);
    }
    byte[] opt = writer == null ? new byte[0] : writer.bytes();
    int ad = wantsDnssec() || message.has(Message.AD) ? body.flags() & Message.AD : 0;
    int flags = 0x8000 | message.opcode() << 11 | message.flags() & (Message.RD | Message.CD) | Message.RA | ad
        | (authoritative ? Message.AA : 0) | body.rcode() & 0xF;
    int most = most(replies.udpSize());
    int end = body.octets().length;
    boolean whole = end + opt.length <= most;
    boolean truncated = !whole && body.authorityEnd() + opt.length > most;
    end = whole ? end : truncated ? body.questionEnd() : body.authorityEnd();
    byte[] to = new byte[end + opt.length];
    System.arraycopy(body.octets(), 0, to, 0, end);
    body.writeTtls(to, end, age, mostTtl);
    question().write(to, Message.HEADER_LENGTH);
    Message.put16(to, 0, message.id());
    Message.put16(to, 2, flags | (truncated ? Message.TC : 0));
    if (truncated) {
      Message.put32(to, 6, 0);
    }
    int additional = whole ? Message.get16(body.octets(), 10) : 0;
    Message.put16(to, 10, additional + (opt.length > 0 ? 1 : 0));
    System.arraycopy(opt, 0, to, end, opt.length);
    return to;
  }
}
