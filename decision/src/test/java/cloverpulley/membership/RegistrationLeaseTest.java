package cloverpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.membership.RegistrationLease.Action;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Times of renewals, retries and the withdrawal. */
class RegistrationLeaseTest {

  @Test
  void renewsAtEightyPercentOfTheGrantedLease() {
    RegistrationLease l = new RegistrationLease(0, 60_000, 500, 8000, 3);
    assertEquals(Action.REGISTER, l.nextAction(0));
    assertEquals(Action.NOTHING, l.nextAction(0), "one update in flight at a time");
    l.succeeded(10, 30_000);
    assertTrue(l.isRegistered());
    assertEquals(Action.NOTHING, l.nextAction(10 + 22_000));
    assertEquals(Action.REGISTER, l.nextAction(10 + 24_000), "at 80% of the granted lease, not of the requested one");
  }

  @Test
  void withdrawalFollowsARegistrationInFlight() {
    RegistrationLease l = new RegistrationLease(0, 60_000, 500, 8000, 3);
    l.nextAction(0);
    l.withdraw(5, 2000);
    assertEquals(Action.NOTHING, l.nextAction(5));
    l.succeeded(8, 0);
    assertEquals(Action.WITHDRAW, l.nextAction(8));
    l.succeeded(9, 0);
    assertTrue(l.isFinished());
    assertFalse(l.isRegistered());
    assertEquals(Action.NOTHING, l.nextAction(100_000));
  }

  @Test
  void failingWithdrawalIsRetriedUntilItsDeadline() {
    RegistrationLease l = new RegistrationLease(0, 60_000, 100, 400, 3);
    l.nextAction(0);
    l.succeeded(0, 0);
    l.withdraw(1000, 3000);
    int attempts = 0;
    for (long now = 1000; now < 5000; now += 10) {
      if (l.nextAction(now) == Action.WITHDRAW) {
        attempts++;
        l.failed(now);
      }
    }
    assertTrue(attempts >= 5 && attempts <= 15, "attempts " + attempts);
    assertTrue(l.isFinished());
  }

  /** Random outages of the primary: never two updates in flight, and registered again soon after the primary is back. */
  @Test
  void randomOutages() {
    for (long seed = 1; seed <= 500; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RegistrationLease l = new RegistrationLease(0, 10_000, 200, 2000, seed);
      boolean inFlight = false;
      long answerAt = 0;
      long downUntil = 0;
      long registeredUntil = 0;
      for (long now = 0; now < 200_000; now += 20) {
        if (random.nextInt(2000) == 0) {
          downUntil = now + random.nextInt(30_000);
        }
        if (inFlight && now >= answerAt) {
          inFlight = false;
          if (now < downUntil) {
            l.failed(now);
          } else {
            l.succeeded(now, 0);
            registeredUntil = now + 10_000;
          }
        }
        Action t = l.nextAction(now);
        if (t != Action.NOTHING) {
          assertFalse(inFlight, "seed " + seed);
          inFlight = true;
          answerAt = now + 20 + random.nextInt(300);
        }
        // At most 2 s of back-off and 320 ms for one attempt.
        assertTrue(now < downUntil + 2400 || registeredUntil >= now || now < 400, "seed " + seed + " at " + now);
      }
    }
  }
}
