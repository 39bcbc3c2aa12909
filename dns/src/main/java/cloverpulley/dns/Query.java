package cloverpulley.dns;

import cloverpulley.dns.wire.Edns;
import cloverpulley.dns.wire.Message;
import cloverpulley.dns.wire.Question;
import java.net.InetAddress;
import java.util.logging.Logger;

/** A client's message, and the building of its response within the client's limits. */
final class Query {

  /** The maximum response size over UDP for a client without EDNS (RFC 1035, 4.2.1). */
  private static final int MIN_UDP_SIZE = 512;
  private static final Logger LOG = Logger.getLogger(Query.class.getName());

  /** The sender of a query. */
  interface Client {

    /** The source address. */
    InetAddress address();

    int port();

    boolean isTcp();

    /** Whether the client can no longer be answered. */
    boolean isClosed();

    /** Writes an answer and takes ownership of the array. */
    void answer(byte[] octets);

    /** Called when an exchange begins to handle one of the client's queries; ends with {@link #onAnswered}. */
    default void onPending(Query query, DnsExchange exchange) {}

    default void onAnswered(Query query) {}
  }

  final Message message;
  final Client client;
  final long arrivedAt;
  /** The cookie to return; null for none. */
  byte[] cookie;
  String tenant;
  /** The reason code if the query was rejected or failed; null otherwise. */
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

  boolean hasEdns() {
    return message.edns() != null;
  }

  boolean wantsDnssec() {
    return hasEdns() && message.edns().dnssecOk();
  }

  boolean isAnswered() {
    return answered;
  }

  /** Sends the answer. A second answer is a bug: it is logged and not sent. */
  void answer(byte[] octets) {
    if (answered) {
      LOG.severe("a second answer to " + question() + " is not sent");
      return;
    }
    answered = true;
    if (!client.isClosed()) {
      client.answer(octets);
      client.onAnswered(this);
    }
  }

  /** The maximum length of the response. */
  private int maxLength(int maxUdpSize) {
    return client.isTcp() ? Message.MAX_LENGTH : hasEdns() ? Math.min(maxUdpSize, message.edns().udpSize()) : MIN_UDP_SIZE;
  }

  /** Whether a response of this length can be sent without truncation. */
  boolean fits(int octets, ResponseOptions responseOptions) {
    return octets <= maxLength(responseOptions.udpSize());
  }

  /** The OPT record for the response; null if the client sent none. */
  private Edns.Writer opt(ResponseOptions responseOptions, int rcode) {
    if (!hasEdns()) {
      return null;
    }
    Edns.Writer opt = new Edns.Writer(responseOptions.udpSize(), rcode >> 4, wantsDnssec());
    if (cookie != null) {
      opt.cookie(cookie);
    }
    if (client.isTcp() && message.edns().keepalive()) {
      opt.keepalive(responseOptions.keepaliveTenths()); // Not allowed over UDP (RFC 7828, 3.2.1).
    }
    return opt;
  }

  /** Server settings that apply to all responses. */
  record ResponseOptions(int udpSize, int keepaliveTenths) {}

  /** A response without records; {@code errorCode} below 0 for no extended error. */
  byte[] empty(ResponseOptions responseOptions, int flags, int rcode, int errorCode, String text) {
    Edns.Writer opt = opt(responseOptions, rcode);
    if (opt != null && errorCode >= 0) {
      opt.error(errorCode, text);
    }
    int allFlags = flags | message.opcode() << 11
        | (message.opcode() == Message.QUERY ? message.flags() & (Message.RD | Message.CD) | Message.RA : 0);
    return Message.empty(message.id(), allFlags, rcode, question(), opt == null ? null : opt.bytes());
  }

  /**
   * A response with records, with decremented TTLs and within the client's size limit. If it is too long, the additional section is left
   * out, which is no truncation (RFC 2181, 9); if that is not enough, all records are left out and TC is set.
   */
  byte[] withRecords(ResponseOptions responseOptions, ResponseTemplate template, long age, long maxTtl, boolean authoritative, int errorCode,
      String text) {
    Edns.Writer writer = opt(responseOptions, template.rcode());
    if (writer != null && errorCode >= 0) {
      writer.error(errorCode, text);
    }
    byte[] opt = writer == null ? new byte[0] : writer.bytes();
    int ad = wantsDnssec() || message.has(Message.AD) ? template.flags() & Message.AD : 0;
    int flags = 0x8000 | message.opcode() << 11 | message.flags() & (Message.RD | Message.CD) | Message.RA | ad
        | (authoritative ? Message.AA : 0) | template.rcode() & 0xF;
    int maxLength = maxLength(responseOptions.udpSize());
    int end = template.octets().length;
    boolean fitsWhole = end + opt.length <= maxLength;
    boolean truncated = !fitsWhole && template.authorityEnd() + opt.length > maxLength;
    end = fitsWhole ? end : truncated ? template.questionEnd() : template.authorityEnd();
    byte[] to = new byte[end + opt.length];
    System.arraycopy(template.octets(), 0, to, 0, end);
    template.writeTtls(to, end, age, maxTtl);
    question().write(to, Message.HEADER_LENGTH);
    Message.put16(to, 0, message.id());
    Message.put16(to, 2, flags | (truncated ? Message.TC : 0));
    if (truncated) {
      Message.put32(to, 6, 0);
    }
    int additional = fitsWhole ? Message.get16(template.octets(), 10) : 0;
    Message.put16(to, 10, additional + (opt.length > 0 ? 1 : 0));
    System.arraycopy(opt, 0, to, end, opt.length);
    return to;
  }
}
