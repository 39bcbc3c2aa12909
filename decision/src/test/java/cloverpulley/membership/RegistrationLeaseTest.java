package cloverpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.membership.RegistrationLease.Action;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When a registration is renewed and withdrawn. */
class RegistrationLeaseTest {

  @Test
  void renewedBeforeItEnds() {
    RegistrationLease l = new RegistrationLease(0, 60_000, 500, 8000, 3);
    assertEquals(Action.REGISTER, l.nextAction(0));
    assertEquals(Action.NOTHING, l.nextAction(0), "one at a time");
    l.succeeded(10, 30_000);
    assertTrue(l.isRegistered());
    assertEquals(Action.NOTHING, l.nextAction(10 + 22_000));
    assertEquals(Action.REGISTER, l.nextAction(10 + 24_000), "at four fifths of what was granted, not of what was wanted");
  }

  @Test
  void withdrawnAfterWhatIsOnItsWay() {
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
  void aWithdrawalThatFailsIsTriedUntilItsTimeIsOver() {
    RegistrationLease l = new RegistrationLease(0, 60_000, 100, 400, 3);
    l.nextAction(0);
    l.succeeded(0, 0);
    l.withdraw(1000, 3000);
    int tries = 0;
    for (long now = 1000; now < 5000; now += 10) {
      if (l.nextAction(now) == Action.WITHDRAW) {
        tries++;
        l.failed(now);
      }
    }
    assertTrue(tries >= 5 && tries <= 15, "tries " + tries);
    assertTrue(l.isFinished());
  }

  /** Whatever fails: never two at a time, registered again soon after the primary is back, nothing after the end. */
  @Test
  void anyHistory() {
    for (long seed = 1; seed <= 500; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      RegistrationLease l = new RegistrationLease(0, 10_000, 200, 2000, seed);
      boolean busy = false;
      long endsAt = 0;
      long downUntil = 0;
      long registeredUntil = 0;
      for (long now = 0; now < 200_000; now += 20) {
        if (random.nextInt(2000) == 0) {
          downUntil = now + random.nextInt(30_000);
        }
        if (busy && now >= endsAt) {
          busy = false;
          if (now < downUntil) {
            l.failed(now);
          } else {
            l.succeeded(now, 0);
            registeredUntil = now + 10_000;
          }
        }
        Action t = l.nextAction(now);
        if (t != Action.NOTHING) {
          assertFalse(busy, "seed " + seed);
          busy = true;
          endsAt = now + 20 + random.nextInt(300);
        }
        // Two seconds of delay, one try of a third of a second.
        assertTrue(now < downUntil + 2400 || registeredUntil >= now || now < 400, "seed " + seed + " at " + now);
      }
    }
  }
}
