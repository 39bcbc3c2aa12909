package cloverpulley.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a request that runs twice because another process of the balancer does not know its id. */
class RequestIdClaimsTest {

  @TempDir
  private Path folder;
  private long now;
  private final RequestIdClaims first = new RequestIdClaims(() -> now);
  private final RequestIdClaims second = new RequestIdClaims(() -> now);

  private void adoptBoth() throws IOException {
    first.adopt(RequestIdFile.open(folder));
    second.adopt(RequestIdFile.open(folder));
  }

  @Test
  void anIdIsClaimedOnceAcrossProcessesEitherWayRound() throws IOException {
    adoptBoth();
    RequestIdClaims.Claim a = first.claim("a");
    RequestIdClaims.Claim b = second.claim("b");
    assertNull(second.claim("a"));
    assertNull(first.claim("b"));
    assertNull(first.claim("a"));
    a.release();
    a.release();
    b.release();
    assertNotNull(second.claim("a"));
    assertNotNull(first.claim("b"));
    assertNull(first.claim("a"), "a second release must not free the id of its next holder");
  }

  @Test
  void idsClaimedBeforeThereIsAFileAreLockedInIt() throws IOException {
    assertNotNull(first.claim("a"));
    adoptBoth();
    assertNull(second.claim("a"));
  }

  @Test
  void idsAreKnownWhenTheFolderIsEmptied() throws IOException {
    adoptBoth();
    first.claim("a");
    RequestIdFile lost = RequestIdFile.open(folder);
    Files.delete(folder.resolve("request-ids"));
    assertFalse(lost.isInPlace());
    RequestIdFile replacement = RequestIdFile.open(folder);
    assertTrue(replacement.isInPlace());
    second.adopt(replacement);
    assertNull(second.claim("a"), "known by the file before");
    second.claim("b");
    assertNull(first.claim("b"), "the other process has only the file before");
    first.adopt(RequestIdFile.open(folder));
    now += RequestIdClaims.REPLACED_FILE_NANOS + 1;
    assertNull(second.claim("a"), "locked in the replacement as well");
    assertNull(first.claim("b"));
  }

  @Test
  void withoutAFileClaimsHoldForTheProcess() {
    RequestIdClaims.Claim a = first.claim("a");
    assertNull(first.claim("a"));
    a.release();
    assertNotNull(first.claim("a"));
  }

  @Test
  void closingReleasesTheIds() throws IOException {
    adoptBoth();
    first.claim("a");
    first.close();
    assertNotNull(second.claim("a"));
  }

  @Test
  void anIdThatIsUsedUpCantBeClaimedAtEitherProcessNorAtTheNextOne() throws IOException {
    first.claim("alone").useUp();
    adoptBoth();
    first.claim("a").useUp();
    assertNull(first.claim("a"));
    assertNull(second.claim("a"));
    assertNull(second.claim("alone"));
    first.close();
    second.close();
    RequestIdClaims next = new RequestIdClaims(() -> now);
    next.adopt(RequestIdFile.open(folder));
    assertNull(next.claim("a"));
    assertNotNull(next.claim("b"));
  }

  @Test
  void usedIdsAreKnownWhenTheFolderIsEmptied() throws IOException {
    adoptBoth();
    first.claim("a").useUp();
    Files.delete(folder.resolve("request-ids"));
    RequestIdFile replacement = RequestIdFile.open(folder);
    second.adopt(replacement);
    first.adopt(RequestIdFile.open(folder));
    now += RequestIdClaims.REPLACED_FILE_NANOS + 1;
    assertNull(second.claim("a"));
  }

  @Test
  void theLastThreeThousandUsedIdsAreRemembered() {
    for (int i = 0; i < 3000; i++) {
      first.claim("id" + i).useUp();
    }
    int forgotten = 0;
    for (int i = 0; i < 3000; i++) {
      forgotten += first.claim("id" + i) == null ? 0 : 1;
    }
    assertTrue(forgotten <= 6, forgotten + " of 3,000 forgotten");
  }
}
