package cloverpulley.incident;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.incident.Query.IndexedField;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class QueryTest {

  private static final Entry ANSWER = Entry.of(new Origin("p1", 5), 1, 1_000_000_000_000_000L, Kind.ANSWERED)
      .withRequest(7, "q-7", "quote-issue", "agro tehnika").withDetails("over_rate", 450_000, Entry.REFUSED);

  private static boolean matches(String q) {
    return Query.of(q).test(ANSWER);
  }

  @Test
  void comparisonsAndBooleanOperators() {
    for (String yes : List.of("", "kind=answered", "kind = answered and class=quote-issue", "tenant=\"agro tehnika\"", "tenant~tehnika",
        "not kind=sent", "kind=sent or word=over_rate", "not (kind=sent or kind=taken) and latency_ms>400", "answer=refused",
        "request=q-7", "at>=2001-09-09T01:46:40Z", "at<=1000000000", "number=7", "instance=p1", "word!=served", "server!=s1")) {
      assertTrue(matches(yes), yes);
    }
    for (String no : List.of("kind=sent", "kind=answered and class=x", "latency_ms<450", "at>1000000000", "tenant=agro",
        "not (kind=answered)", "answer=served", "attempt>0", "server=s1")) {
      assertFalse(matches(no), no);
    }
  }

  @Test
  void constraintsHoldForEveryMatch() {
    Query.Constraints n = Query.of("kind=answered and tenant=a and at>=100 and at<200 and (class=x or class=y)").constraints();
    assertEquals(100_000_000L, n.from());
    assertEquals(200_000_000L, n.to());
    assertEquals(java.util.Map.of(IndexedField.KIND, "answered", IndexedField.TENANT, "a"), n.equalities());
    assertEquals(java.util.Map.of(), Query.of("kind=a or kind=b").constraints().equalities());
    assertEquals(java.util.Map.of(), Query.of("not kind=a").constraints().equalities());
  }

  @Test
  void syntaxErrorsHaveAPosition() {
    for (String wrong : List.of("kind", "kind=", "=x", "foo=1", "kind<a", "attempt=x", "at~1", "(kind=a", "kind=a kind=b", "at>soon",
        "tenant=\"x", "and", "not", "attempt=NaN", "a".repeat(5000), "(".repeat(100) + "kind=a", "not ".repeat(100) + "kind=a",
        "at>999999999999999Z")) {
      IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> Query.of(wrong), wrong);
      assertTrue(e.getMessage().startsWith("query, character "), e.getMessage());
    }
  }

  /** Any text is either parsed or rejected with an IllegalArgumentException. */
  @Test
  void randomTextIsParsedOrRejected() {
    SplittableRandom random = new SplittableRandom(20261201);
    String[] parts = {"kind", "=", "answered", " ", "(", ")", "and", "or", "not", "\"", "at", ">=", "1", "~", "!", "\u0000", "é", "<"};
    int read = 0;
    for (int i = 0; i < 20_000; i++) {
      StringBuilder t = new StringBuilder();
      for (int n = random.nextInt(12); n > 0; n--) {
        t.append(parts[random.nextInt(parts.length)]).append(random.nextBoolean() ? " " : "");
      }
      try {
        Query.of(t.toString()).test(ANSWER);
        read++;
      } catch (IllegalArgumentException e) {
        assertTrue(e.getMessage().startsWith("query"), e.getMessage());
      }
    }
    assertTrue(read > 0);
  }
}
