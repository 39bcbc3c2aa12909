package cloverpulley.membership;

import java.util.SplittableRandom;

/**
 * When a registration is made, renewed and withdrawn (RFC 9664): renewed at 80% of what was granted, with up to 5% of it taken off
 * so that many don't renew together; after a failure with a delay that doubles, and in any case before the lease ends once. A
 * withdrawal comes before all else and is tried for a stated time.
 */
public final class RegistrationLease {

  /** What is to be done now. */
  public enum Action { NOTHING, REGISTER, WITHDRAW }

  private static final double RENEW_AT = 0.8;
  private static final double JITTER = 0.05;
  private static final int MAX_DOUBLINGS = 16;

  private final long requestedMillis;
  private final long backOffMillis;
  private final long maxBackOffMillis;
  private final SplittableRandom random;
  private long nextAt;
  private long endsAt = -1;
  private int failures;
  private Action pending = Action.NOTHING;
  private boolean withdrawing;
  private boolean registered;
  private boolean finished;
  private long withdrawUntil;

  /** Makes one that wants to be registered at once; times in milliseconds. */
  public RegistrationLease(long now, long requestedMillis, long backOffMillis, long maxBackOffMillis, long seed) {
    this.requestedMillis = requestedMillis;
    this.backOffMillis = backOffMillis;
    this.maxBackOffMillis = maxBackOffMillis;
    random = new SplittableRandom(seed);
    nextAt = now;
  }

  /** The lease that is asked for. */
  public long requestedMillis() {
    return requestedMillis;
  }

  /** What to do; whoever is told to do something says how that ended before being told again. */
  public Action nextAction(long now) {
    if (withdrawing && now >= withdrawUntil) {
      finished = true;
    }
    if (finished || pending != Action.NOTHING || now < nextAt && !(endsAt > 0 && now >= endsAt)) {
      return Action.NOTHING;
    }
    pending = withdrawing ? Action.WITHDRAW : Action.REGISTER;
    return pending;
  }

  /**
   * The primary has done it.
   *
   * @param grantedMillis the lease that it gives; 0 where it knows of none, which is as if it gave the one wanted
   */
  public void succeeded(long now, long grantedMillis) {
    boolean register = pending == Action.REGISTER;
    pending = Action.NOTHING;
    failures = 0;
    registered = register;
    if (withdrawing) {
      // What was on its way when it was to be withdrawn has registered it just now: withdrawn after that.
      finished |= !register;
      nextAt = now;
      return;
    }
    long lease = grantedMillis <= 0 ? requestedMillis : grantedMillis;
    endsAt = now + lease;
    nextAt = now + (long) (lease * (RENEW_AT - random.nextDouble(JITTER)));
  }

  /** It has not been done, or nobody knows. */
  public void failed(long now) {
    pending = Action.NOTHING;
    long delay = Math.min(maxBackOffMillis, backOffMillis << Math.min(MAX_DOUBLINGS, failures++));
    nextAt = now + delay / 2 + random.nextLong(delay / 2 + 1);
    endsAt = endsAt > 0 && now >= endsAt ? -1 : endsAt;
  }

  /** It is to be withdrawn, first of all; tried until then. */
  public void withdraw(long now, long untilMillis) {
    if (!withdrawing) {
      withdrawing = true;
      withdrawUntil = untilMillis;
      nextAt = now;
      failures = 0;
    }
  }

  /** What is registered has changed: it is registered anew at once. */
  public void changed(long now) {
    if (!withdrawing) {
      nextAt = now;
    }
  }

  /** Whether the primary is known to hold it. */
  public boolean isRegistered() {
    return registered;
  }

  /** Whether nothing more is to be done: it has been withdrawn, or the time for that is over. */
  public boolean isFinished() {
    return finished;
  }
}
