package cloverpulley.membership;

import java.util.SplittableRandom;

/**
 * Schedules the registration, renewal and withdrawal of a DNS-SD service (RFC 9664). A lease is renewed at 80% of the granted time,
 * minus up to 5% of jitter so that many publishers do not renew at once. Failures are retried with exponential back-off, and once
 * more when the lease expires, whatever the back-off. A withdrawal takes precedence and is retried until its deadline.
 */
public final class RegistrationLease {

  /** The update to send next. */
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

  /** Creates a schedule whose first registration is due at once; times are in milliseconds. */
  public RegistrationLease(long now, long requestedMillis, long backOffMillis, long maxBackOffMillis, long seed) {
    this.requestedMillis = requestedMillis;
    this.backOffMillis = backOffMillis;
    this.maxBackOffMillis = maxBackOffMillis;
    random = new SplittableRandom(seed);
    nextAt = now;
  }

  /** The lease time requested from the primary. */
  public long requestedMillis() {
    return requestedMillis;
  }

  /**
   * The update that is due. After REGISTER or WITHDRAW the caller reports {@link #succeeded} or {@link #failed} before the next one is
   * returned.
   */
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
   * The primary has applied the pending update.
   *
   * @param grantedMillis the lease time in its answer; 0 if it sent none, then the requested time applies
   */
  public void succeeded(long now, long grantedMillis) {
    boolean register = pending == Action.REGISTER;
    pending = Action.NOTHING;
    failures = 0;
    registered = register;
    if (withdrawing) {
      // A registration in flight when the withdrawal was requested has just succeeded: the withdrawal is sent next.
      finished |= !register;
      nextAt = now;
      return;
    }
    long lease = grantedMillis <= 0 ? requestedMillis : grantedMillis;
    endsAt = now + lease;
    nextAt = now + (long) (lease * (RENEW_AT - random.nextDouble(JITTER)));
  }

  /** The pending update failed, or its outcome is unknown. */
  public void failed(long now) {
    pending = Action.NOTHING;
    long delay = Math.min(maxBackOffMillis, backOffMillis << Math.min(MAX_DOUBLINGS, failures++));
    nextAt = now + delay / 2 + random.nextLong(delay / 2 + 1);
    endsAt = endsAt > 0 && now >= endsAt ? -1 : endsAt;
  }

  /** Requests the withdrawal, which is retried until {@code untilMillis}. */
  public void withdraw(long now, long untilMillis) {
    if (!withdrawing) {
      withdrawing = true;
      withdrawUntil = untilMillis;
      nextAt = now;
      failures = 0;
    }
  }

  /** The registered records have changed: registers again at once. */
  public void changed(long now) {
    if (!withdrawing) {
      nextAt = now;
    }
  }

  /** Whether the primary is known to hold the registration: the last update that succeeded was one. */
  public boolean isRegistered() {
    return registered;
  }

  /** Whether no further update is due: withdrawn, or past the withdrawal deadline. */
  public boolean isFinished() {
    return finished;
  }
}
