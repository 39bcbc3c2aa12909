package cloverpulley.dns.wire;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * A DNS message (RFC 1035, 4.1), parsed strictly and kept as the received octets, so that it can be forwarded unmodified. The parsing
 * effort is bounded by the message's length.
 */
public final class Message {

  public static final int HEADER_LENGTH = 12;
  public static final int MAX_LENGTH = 65_535;

  public static final int QUERY = 0;
  public static final int NOTIFY = 4;
  public static final int UPDATE = 5;

  public static final int NOERROR = 0;
  public static final int FORMERR = 1;
  public static final int SERVFAIL = 2;
  public static final int NXDOMAIN = 3;
  public static final int NOTIMP = 4;
  public static final int REFUSED = 5;
  public static final int NOTAUTH = 9;
  public static final int BADVERS = 16;

  public static final int ANY = 255;
  public static final int IN = 1;
  private static final int A = 1;
  private static final int NS = 2;
  private static final int CNAME = 5;
  private static final int SOA = 6;
  private static final int PTR = 12;
  private static final int MX = 15;
  private static final int AAAA = 28;
  private static final int DNAME = 39;
  private static final int RRSIG = 46;
  private static final int TSIG = 250;
  private static final int POINTER = 0xC000;
  /** The octets of a record between its name and its data: type, class, TTL, data length. */
  private static final int RECORD_FIXED_LENGTH = 10;
  /** Longer CNAME chains are rejected. */
  private static final int MAX_ALIASES = 16;

  private static final int QR = 0x8000;
  public static final int AA = 0x0400;
  public static final int TC = 0x0200;
  public static final int RD = 0x0100;
  public static final int RA = 0x0080;
  public static final int AD = 0x0020;
  public static final int CD = 0x0010;

  private final byte[] b;
  private final Question question;
  private final int questionEnd;
  private final Edns edns;
  private final byte[] tsigName;
  /** The ends of the answer, authority and additional sections. */
  private final int[] ends;
  private final int records;
  private final boolean optLast;

  private Message(byte[] b, Question question, int questionEnd, Edns edns, byte[] tsigName, int[] ends, int records,
      boolean optLast) {
    this.b = b;
    this.question = question;
    this.questionEnd = questionEnd;
    this.edns = edns;
    this.tsigName = tsigName;
    this.ends = ends;
    this.records = records;
    this.optLast = optLast;
  }

  /** Whether the input is long enough for a header, which is needed to answer FORMERR. */
  public static boolean hasHeader(byte[] b) {
    return b.length >= HEADER_LENGTH;
  }

  /** Parses a message without a tenant option. */
  public static Message read(byte[] b) throws MalformedException {
    return read(b, 0);
  }

  /**
   * Parses a message. The array is kept, not copied.
   *
   * @param tenantOption the code of the EDNS option that names a tenant; 0 for none
   * @throws MalformedException if counts, lengths or names are invalid, there are several questions, or octets follow the last record
   */
  public static Message read(byte[] b, int tenantOption) throws MalformedException {
    if (b.length < HEADER_LENGTH) {
      throw new MalformedException("message shorter than the header");
    }
    int questions = get16(b, 4);
    if (questions > 1) {
      throw new MalformedException("more than one question");
    }
    Question question = null;
    int at = HEADER_LENGTH;
    if (questions == 1) {
      byte[] name = Names.read(b, at);
      at = Names.skip(b, at);
      if (at != HEADER_LENGTH + name.length) {
        throw new MalformedException("compressed name in the question");
      }
      checkBounds(b, at, 4);
      question = new Question(name, get16(b, at), get16(b, at + 2));
      at += 4;
    }
    int questionEnd = at;
    Edns edns = null;
    byte[] tsig = null;
    boolean optLast = true;
    int[] ends = new int[3];
    int records = 0;
    for (int section = 0; section < 3; section++) {
      for (int left = get16(b, 6 + 2 * section); left > 0; left--) {
        int owner = at;
        at = Names.skip(b, at);
        checkBounds(b, at, RECORD_FIXED_LENGTH);
        int type = get16(b, at);
        int data = at + RECORD_FIXED_LENGTH;
        int end = data + get16(b, at + 8);
        checkBounds(b, data, end - data);
        optLast = edns == null;
        if (tsig != null) {
          throw new MalformedException("record after TSIG"); // RFC 8945, 5.1
        }
        if (type == Edns.OPT) {
          if (section != 2 || edns != null || b[owner] != 0) {
            throw new MalformedException("misplaced or duplicate OPT record"); // RFC 6891, 6.1.1
          }
          edns = Edns.read(b, owner, end, tenantOption);
          optLast = true;
        } else if (type == TSIG && section == 2) {
          tsig = Names.read(b, owner);
        } else {
          checkData(b, type, get16(b, at + 2), data, end);
        }
        records++;
        at = end;
      }
      ends[section] = at;
    }
    if (at != b.length) {
      throw new MalformedException("trailing octets");
    }
    return new Message(b, question, questionEnd, edns, tsig, ends, records, optLast);
  }

  private static void checkBounds(byte[] b, int at, int octets) throws MalformedException {
    if (at + octets > b.length) {
      throw new MalformedException("record extends past the end of the message");
    }
  }

  /** Checks the data of types that may hold compressed names, and of addresses; other types are not interpreted here. */
  private static void checkData(byte[] b, int type, int dnsClass, int data, int end) throws MalformedException {
    if (dnsClass != IN || data == end) {
      return; // Records without data are valid in an UPDATE (RFC 2136, 2.4).
    }
    int after = end;
    if (type == CNAME || type == NS || type == PTR || type == DNAME) {
      Names.read(b, data);
      after = Names.skip(b, data);
    } else if (type == MX) {
      checkBounds(b, data, 3);
      Names.read(b, data + 2);
      after = Names.skip(b, data + 2);
    } else if (type == SOA) {
      Names.read(b, data);
      int mailbox = Names.skip(b, data);
      Names.read(b, mailbox);
      after = Names.skip(b, mailbox) + 20;
    } else if (type == A) {
      after = data + 4;
    } else if (type == AAAA) {
      after = data + 16;
    }
    if (after != end) {
      throw new MalformedException("record data does not match its length");
    }
  }

  // ---- Fields --------------------------------------------------------------------------------------------

  /** The message in wire format. */
  public byte[] bytes() {
    return b;
  }

  public int id() {
    return get16(b, 0);
  }

  public int flags() {
    return get16(b, 2);
  }

  public boolean has(int flag) {
    return (flags() & flag) != 0;
  }

  public boolean isResponse() {
    return isResponse(b);
  }

  /** The same for an unparsed message with at least a header. */
  public static boolean isResponse(byte[] b) {
    return (get16(b, 2) & QR) != 0;
  }

  public int opcode() {
    return opcode(b);
  }

  /** The same for an unparsed message with at least a header. */
  public static int opcode(byte[] b) {
    return b[2] >> 3 & 0xF;
  }

  /** The response code, including the upper bits from EDNS. */
  public int rcode() {
    return b[3] & 0xF | (edns == null ? 0 : edns.extendedRcode() << 4);
  }

  /** Null if there is none. */
  public Question question() {
    return question;
  }

  /** Null if the message has no OPT record. */
  public Edns edns() {
    return edns;
  }

  /** The TSIG key name as received; null if the message is not signed. */
  public byte[] tsigName() {
    return tsigName;
  }

  public int answers() {
    return get16(b, 6);
  }

  public int authorities() {
    return get16(b, 8);
  }

  public int additionals() {
    return get16(b, 10);
  }

  /** The end of the question section. */
  public int questionEnd() {
    return questionEnd;
  }

  /** The end of a section: 0 answer, 1 authority, 2 additional. */
  public int end(int section) {
    return ends[section];
  }

  /** Whether the OPT record, if any, is the last record, so that it can be cut off. */
  public boolean isOptLast() {
    return optLast;
  }

  /** Visits all records except OPT. */
  private interface Visitor {
    /** Visits the record with its name at {@code owner} and its type at {@code fixed}. Returns false to stop. */
    boolean visit(int section, int owner, int fixed) throws MalformedException;
  }

  private void forEachRecord(Visitor visitor) throws MalformedException {
    int at = questionEnd;
    for (int section = 0; section < 3; section++) {
      for (int left = get16(b, 6 + 2 * section); left > 0; left--) {
        int fixed = Names.skip(b, at);
        if (get16(b, fixed) != Edns.OPT && !visitor.visit(section, at, fixed)) {
          return;
        }
        at = fixed + RECORD_FIXED_LENGTH + get16(b, fixed + 8);
      }
    }
  }

  /** The offsets of the TTLs. */
  public int[] ttls() {
    int[] at = new int[records];
    int[] count = {0};
    try {
      forEachRecord((section, owner, fixed) -> {
        at[count[0]++] = fixed + 4;
        return true;
      });
    } catch (MalformedException e) {
      throw new IllegalStateException(e); // Can't happen: the message has been parsed before.
    }
    return Arrays.copyOf(at, count[0]);
  }

  /**
   * How long the answer may be cached, in seconds: the lowest TTL of its records, or for a negative answer the TTL according to
   * RFC 2308, 5; -1 if it must not be cached.
   */
  public long ttl() {
    long[] minTtl = {Long.MAX_VALUE};
    boolean[] soa = {false};
    boolean positive = answers() > 0 && rcode() == NOERROR;
    try {
      forEachRecord((section, owner, fixed) -> {
        long ttl = ttlAt(b, fixed + 4);
        int type = get16(b, fixed);
        if (section == 1 && type == SOA && !positive) {
          int end = fixed + RECORD_FIXED_LENGTH + get16(b, fixed + 8);
          ttl = Math.min(ttl, ttlAt(b, end - 4));
          soa[0] = true;
        }
        if (section < 2) {
          minTtl[0] = Math.min(minTtl[0], ttl);
        }
        return section < 2;
      });
    } catch (MalformedException e) {
      return -1;
    }
    return !positive && !soa[0] ? -1 : minTtl[0];
  }

  /** The TTL at an offset; one with the top bit set counts as 0 (RFC 2181, 8). */
  private static long ttlAt(byte[] b, int at) {
    long ttl = (long) get16(b, at) << 16 | get16(b, at + 2);
    return ttl > Integer.MAX_VALUE ? 0 : ttl;
  }

  /**
   * Whether each record in the answer section belongs to the queried name or to a name that a CNAME or DNAME there leads to (RFC 5452, 6;
   * RFC 6672).
   */
  public boolean isInBailiwick() {
    return allOwnersAreQuestion() || followsAliases();
  }

  /** The fast path for the common case: each owner name is a pointer to the question's name. */
  private boolean allOwnersAreQuestion() {
    int at = questionEnd;
    for (int left = answers(); left > 0; left--) {
      if (get16(b, at) != (POINTER | HEADER_LENGTH)) {
        return false;
      }
      at += 2 + RECORD_FIXED_LENGTH + get16(b, at + 2 + 8);
    }
    return true;
  }

  private boolean followsAliases() {
    Set<String> names = new HashSet<>();
    names.add(key(question.name()));
    try {
      // CNAMEs may come in any order: repeat until no more names are added.
      for (int before = 0; before != names.size() && names.size() <= MAX_ALIASES; ) {
        before = names.size();
        forEachRecord((section, owner, fixed) -> {
          if (section == 0 && get16(b, fixed) == CNAME && names.contains(nameAt(owner))) {
            names.add(nameAt(fixed + RECORD_FIXED_LENGTH));
          }
          return section == 0;
        });
      }
      boolean[] within = {names.size() <= MAX_ALIASES};
      forEachRecord((section, owner, fixed) -> {
        if (section == 0 && !names.contains(nameAt(owner))) {
          int type = get16(b, fixed);
          byte[] dnameOwner = Names.lower(Names.read(b, owner));
          within[0] &= (type == DNAME || type == RRSIG && get16(b, fixed + RECORD_FIXED_LENGTH) == DNAME)
              && names.stream().anyMatch(n -> Names.isWithin(n.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1), dnameOwner));
        }
        return section == 0 && within[0];
      });
      return within[0];
    } catch (MalformedException e) {
      return false;
    }
  }

  private String nameAt(int at) throws MalformedException {
    return key(Names.lower(Names.read(b, at)));
  }

  private static String key(byte[] name) {
    return new String(name, java.nio.charset.StandardCharsets.ISO_8859_1);
  }

  // ---- Integers ------------------------------------------------------------------------------------------

  /** Reads a 16-bit integer. */
  public static int get16(byte[] b, int at) {
    return (b[at] & 0xFF) << 8 | b[at + 1] & 0xFF;
  }

  public static void put16(byte[] b, int at, int value) {
    b[at] = (byte) (value >> 8);
    b[at + 1] = (byte) value;
  }

  public static void put32(byte[] b, int at, long value) {
    put16(b, at, (int) (value >> 16));
    put16(b, at + 2, (int) value);
  }

  // ---- Building messages ---------------------------------------------------------------------------------

  /**
   * Builds a query.
   *
   * @param flags the flags that a client may set, such as {@link #RD}
   * @param opt the OPT record; null for none
   */
  public static byte[] query(int id, int flags, Question question, byte[] opt) {
    byte[] to = new byte[HEADER_LENGTH + question.length() + (opt == null ? 0 : opt.length)];
    put16(to, 0, id);
    put16(to, 2, flags);
    to[5] = 1;
    int at = question.write(to, HEADER_LENGTH);
    if (opt != null) {
      to[11] = 1;
      System.arraycopy(opt, 0, to, at, opt.length);
    }
    return to;
  }

  /**
   * Builds a response without records.
   *
   * @param question null if the question can't be parsed
   * @param opt null for none
   */
  public static byte[] empty(int id, int flags, int rcode, Question question, byte[] opt) {
    int length = question == null ? HEADER_LENGTH : HEADER_LENGTH + question.length();
    byte[] to = new byte[length + (opt == null ? 0 : opt.length)];
    put16(to, 0, id);
    put16(to, 2, QR | flags | rcode & 0xF);
    if (question != null) {
      to[5] = 1;
      question.write(to, HEADER_LENGTH);
    }
    if (opt != null) {
      to[11] = 1;
      System.arraycopy(opt, 0, to, length, opt.length);
    }
    return to;
  }
}
