package cloverpulley.incident;

/**
 * One record. Fields that a kind does not use are null or 0.
 *
 * @param seq sequence number within its origin, from 1, without gaps except those that {@link Kind#DROPPED} counts
 * @param at microseconds of Unix time by the clock of its origin, monotonic within an incarnation unless that clock is stepped
 * @param request the engine's number of the request; 0 for none
 * @param id the request ID that the caller gave
 * @param key hash of the request's key
 * @param attempt number of the attempt, from 0, including attempts made by earlier calls
 * @param upstream the decision module's number of the server
 * @param name the server's name in the endpoint list
 * @param word reason, status or state, by the same name as in metrics and errors
 * @param value see the kind; durations are in microseconds
 * @param other see the kind; with ENDED and ANSWERED one of {@link #SERVED}, {@link #REFUSED}, {@link #FAILED}, {@link #GONE}
 */
public record Entry(Origin origin, long seq, long at, Kind kind, long request, String id, String className, String tenant, long key,
    int attempt, long upstream, String name, String word, long value, long other) {

  /** Results of a final answer. */
  public static final int SERVED = 0;
  /** Rejected without being executed; a retry is safe. */
  public static final int REFUSED = 1;
  public static final int FAILED = 2;
  /** The client had disconnected, so no answer was due. */
  public static final int GONE = 3;

  private static final String[] RESULT_NAMES = {"served", "refused", "failed", "gone"};

  /** The name of a final answer's result. */
  public static String answerName(long other) {
    return other >= 0 && other < RESULT_NAMES.length ? RESULT_NAMES[(int) other] : "answer " + other;
  }

  /** An entry with only its origin, sequence number, time and kind set; the {@code with} methods set the rest. */
  public static Entry of(Origin origin, long seq, long at, Kind kind) {
    return new Entry(origin, seq, at, kind, 0, null, null, null, 0, 0, 0, null, null, 0, 0);
  }

  public Entry withRequest(long number, String givenId, String requestClass, String tenantName) {
    return new Entry(origin, seq, at, kind, number, givenId, requestClass, tenantName, key, attempt, upstream, name, word, value, other);
  }

  public Entry withAttempt(int number, long upstreamId) {
    return new Entry(origin, seq, at, kind, request, id, className, tenant, key, number, upstreamId, name, word, value, other);
  }

  public Entry withServer(long upstreamId, String serverName) {
    return new Entry(origin, seq, at, kind, request, id, className, tenant, key, attempt, upstreamId, serverName, word, value, other);
  }

  public Entry withDetails(String newWord, long newValue, long newOther) {
    return new Entry(origin, seq, at, kind, request, id, className, tenant, key, attempt, upstream, name, newWord, newValue, newOther);
  }

  /** Identifies the request across instances: the ID that its caller gave, or else the origin and the engine's number. Null without a request. */
  public String requestId() {
    return id != null ? id : request == 0 ? null : origin.instance() + "/" + origin.start() + "#" + request;
  }
}
