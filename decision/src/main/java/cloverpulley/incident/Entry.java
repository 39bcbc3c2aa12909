package cloverpulley.incident;

/**
 * One record. A field that a kind has no use for is null or 0.
 *
 * @param seq its number among the records of its origin, from 1, without gaps but those that {@link Kind#DROPPED} counts
 * @param at microseconds of Unix time by the clock of its origin, which never goes back within a life unless that clock was made to step
 * @param request the engine's number of the request; 0 for none
 * @param id the request's name as its caller gave it
 * @param key hash of its key
 * @param attempt number of the attempt, from 0, those of earlier calls among them
 * @param upstream the module's number of the server
 * @param name the server's name in the list
 * @param word reason, status, state: the same word as in figures and errors
 * @param other see the kind; with ENDED and ANSWERED one of {@link #SERVED}, {@link #REFUSED}, {@link #FAILED}, {@link #GONE}
 */
public record Entry(Origin origin, long seq, long at, Kind kind, long request, String id, String className, String tenant, long key,
    int attempt, long upstream, String name, String word, long value, long other) {

  /** What a final answer was. */
  public static final int SERVED = 0;
  /** Nothing ran, trying again is harmless. */
  public static final int REFUSED = 1;
  public static final int FAILED = 2;
  /** The client had left, and was owed none any more. */
  public static final int GONE = 3;

  private static final String[] ANSWERS = {"served", "refused", "failed", "gone"};

  /** The word of a final answer's kind. */
  public static String answerName(long other) {
    return other >= 0 && other < ANSWERS.length ? ANSWERS[(int) other] : "answer " + other;
  }

  /** The same with another origin's number and time: a builder for what is made in parts. */
  public static Entry of(Origin origin, long seq, long at, Kind kind) {
    return new Entry(origin, seq, at, kind, 0, null, null, null, 0, 0, 0, null, null, 0, 0);
  }

  public Entry withRequest(long number, String called, String type, String by) {
    return new Entry(origin, seq, at, kind, number, called, type, by, key, attempt, upstream, name, word, value, other);
  }

  public Entry withAttempt(int number, long server) {
    return new Entry(origin, seq, at, kind, request, id, className, tenant, key, number, server, name, word, value, other);
  }

  public Entry withServer(long server, String called) {
    return new Entry(origin, seq, at, kind, request, id, className, tenant, key, attempt, server, called, word, value, other);
  }

  public Entry withDetails(String what, long amount, long more) {
    return new Entry(origin, seq, at, kind, request, id, className, tenant, key, attempt, upstream, name, what, amount, more);
  }

  /** The request across instances: the caller's name for it, or this life's number where it has none; null where it speaks of none. */
  public String requestId() {
    return id != null ? id : request == 0 ? null : origin.instance() + "/" + origin.start() + "#" + request;
  }
}
