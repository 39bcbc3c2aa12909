package cloverpulley.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class OfflineUpstreamsTest {

  @TempDir
  private Path folder;
  private final AtomicLong clock = new AtomicLong(1000);
  private OfflineUpstreams here;
  private OfflineUpstreams there;

  private void two() {
    here = new OfflineUpstreams(folder, clock::incrementAndGet);
    there = new OfflineUpstreams(folder, clock::incrementAndGet);
  }

  private void empty() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private void exchange() throws IOException {
    here.synchronize();
    there.synchronize();
    here.synchronize();
  }

  @Test
  void theLastChangeCountsWhicheverProcessItCameTo() throws IOException {
    two();
    assertTrue(here.setOffline("s-1") && here.setOffline("../../x y/ü") && there.setOffline("s-2") && there.setOffline("s-1"));
    exchange();
    assertEquals(Set.of("s-1", "s-2", "../../x y/ü"), there.offline().keySet());
    assertEquals(there.offline().keySet(), here.offline().keySet());
    there.setOnline("s-1");
    there.setOnline("s-1");
    there.setOnline("s-never");
    exchange();
    assertEquals(Set.of("s-2", "../../x y/ü"), here.offline().keySet());
    here.setOffline("s-1");
    exchange();
    assertTrue(there.offline().containsKey("s-1"));
  }

  @Test
  void anEmptiedFolderPutsNothingOnline() throws IOException {
    two();
    here.setOffline("s-1");
    here.synchronize();
    empty();
    here.synchronize();
    assertEquals(Set.of("s-1"), here.offline().keySet());
    there.synchronize();
    assertEquals(Set.of("s-1"), there.offline().keySet(), "the promise was not published again");
    Files.delete(Files.list(folder).findFirst().get());
    Files.delete(folder);
    exchange();
    assertEquals(Set.of("s-1"), there.offline().keySet());
  }

  @Test
  void aChangeToOnlineIsNotUndoneByAProcessThatMissedIt() throws IOException {
    two();
    here.setOffline("s-1");
    exchange();
    there.setOnline("s-1");
    there.synchronize();
    empty();
    here.synchronize();
    exchange();
    assertEquals(Set.of(), here.offline().keySet());
    assertEquals(Set.of(), there.offline().keySet());
  }

  @Test
  void aFolderThatFailsKeepsWhatWasPromised() throws IOException {
    two();
    Path file = Files.createFile(folder.resolve("file"));
    OfflineUpstreams failing = new OfflineUpstreams(file, clock::incrementAndGet);
    failing.setOffline("s-1");
    assertThrows(IOException.class, failing::synchronize);
    assertEquals(Set.of("s-1"), failing.offline().keySet());
    Files.delete(file);
    failing.synchronize();
    OfflineUpstreams successor = new OfflineUpstreams(file, clock::incrementAndGet);
    successor.synchronize();
    assertEquals(Set.of("s-1"), successor.offline().keySet());
  }

  /** Its time is that of the first call, whoever asks again. */
  @Test
  void itIsOfflineSinceTheFirstCall() {
    two();
    here.setOffline("s-1");
    long before = here.offline().get("s-1");
    clock.addAndGet(500);
    here.setOffline("s-1");
    assertTrue(here.offline().get("s-1") >= before + 500);
  }

  @Test
  void theReleaseBeforeNamedItsFilesOtherwise() throws IOException {
    two();
    Files.createFile(folder.resolve("out-732d31"));
    here.synchronize();
    assertEquals(Set.of("s-1"), here.offline().keySet());
    here.setOnline("s-1");
    exchange();
    assertEquals(Set.of(), there.offline().keySet());
  }

  @Test
  void whatThisProgramDidNotMakeIsPassedOver() throws IOException {
    two();
    for (String name : new String[] {"out-zz", "out-ff", "other", "offline-732d31-x", "online--0000000000000000001", "offline-732d31-1"}) {
      Files.createFile(folder.resolve(name));
    }
    here.setOffline("s-2");
    exchange();
    assertEquals(Set.of("s-2"), there.offline().keySet());
    assertTrue(Files.exists(folder.resolve("other")));
    assertTrue(OfflineUpstreams.isValidName("a".repeat(OfflineUpstreams.MAX_NAME_BYTES)));
    here.setOffline("a".repeat(OfflineUpstreams.MAX_NAME_BYTES));
    exchange();
    assertEquals(2, there.offline().size());
    assertFalse(OfflineUpstreams.isValidName("ü".repeat(OfflineUpstreams.MAX_NAME_BYTES)) || OfflineUpstreams.isValidName(""));
  }
}
