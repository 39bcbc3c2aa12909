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
  private OfflineUpstreams first;
  private OfflineUpstreams second;

  private void createBoth() {
    first = new OfflineUpstreams(folder, clock::incrementAndGet);
    second = new OfflineUpstreams(folder, clock::incrementAndGet);
  }

  private void clear() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private void synchronizeBoth() throws IOException {
    first.synchronize();
    second.synchronize();
    first.synchronize();
  }

  @Test
  void theLatestChangeWinsWhicheverProcessMadeIt() throws IOException {
    createBoth();
    assertTrue(first.setOffline("s-1") && first.setOffline("../../x y/ü") && second.setOffline("s-2") && second.setOffline("s-1"));
    synchronizeBoth();
    assertEquals(Set.of("s-1", "s-2", "../../x y/ü"), second.offline().keySet());
    assertEquals(second.offline().keySet(), first.offline().keySet());
    second.setOnline("s-1");
    second.setOnline("s-1");
    second.setOnline("s-never");
    synchronizeBoth();
    assertEquals(Set.of("s-2", "../../x y/ü"), first.offline().keySet());
    first.setOffline("s-1");
    synchronizeBoth();
    assertTrue(second.offline().containsKey("s-1"));
  }

  /** Guards a confirmed call offline against an earlier call online at the other process, which this one has not seen yet. */
  @Test
  void aRepeatedCallOfflineIsLaterThanAnUnseenCallOnline() throws IOException {
    createBoth();
    first.setOffline("s-1");
    synchronizeBoth();
    first.setOnline("s-1");
    assertTrue(second.setOffline("s-1"));
    synchronizeBoth();
    assertTrue(first.offline().containsKey("s-1"));
    assertTrue(second.offline().containsKey("s-1"));
  }

  /** The same the other way round: a call online after an unseen call offline, while the folder can't be read. */
  @Test
  void aCallOnlineWithoutAFolderIsLaterThanAnUnseenCallOffline() throws IOException {
    createBoth();
    first.setOffline("s-1");
    second.setOnline("s-1");
    synchronizeBoth();
    assertEquals(Set.of(), first.offline().keySet());
    assertEquals(Set.of(), second.offline().keySet());
  }

  @Test
  void anEmptiedFolderPutsNothingOnline() throws IOException {
    createBoth();
    first.setOffline("s-1");
    first.synchronize();
    clear();
    first.synchronize();
    assertEquals(Set.of("s-1"), first.offline().keySet());
    second.synchronize();
    assertEquals(Set.of("s-1"), second.offline().keySet(), "the change was not published again");
    Files.delete(Files.list(folder).findFirst().get());
    Files.delete(folder);
    synchronizeBoth();
    assertEquals(Set.of("s-1"), second.offline().keySet());
  }

  @Test
  void aChangeToOnlineIsNotUndoneByAProcessThatMissedIt() throws IOException {
    createBoth();
    first.setOffline("s-1");
    synchronizeBoth();
    second.setOnline("s-1");
    second.synchronize();
    clear();
    first.synchronize();
    synchronizeBoth();
    assertEquals(Set.of(), first.offline().keySet());
    assertEquals(Set.of(), second.offline().keySet());
  }

  @Test
  void aFolderThatFailsLosesNoChange() throws IOException {
    createBoth();
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

  /** A repeated call does not restart the time. */
  @Test
  void theOfflineTimeStartsAtTheFirstCall() {
    createBoth();
    first.setOffline("s-1");
    long before = first.offline().get("s-1");
    clock.addAndGet(500);
    first.setOffline("s-1");
    assertTrue(first.offline().get("s-1") >= before + 500);
  }

  @Test
  void filesOfThePreviousReleaseAreUnderstood() throws IOException {
    createBoth();
    Files.createFile(folder.resolve("out-732d31"));
    first.synchronize();
    assertEquals(Set.of("s-1"), first.offline().keySet());
    first.setOnline("s-1");
    synchronizeBoth();
    assertEquals(Set.of(), second.offline().keySet());
  }

  @Test
  void unrelatedFilesAreIgnored() throws IOException {
    createBoth();
    for (String name : new String[] {"out-zz", "out-ff", "other", "offline-732d31-x", "online--0000000000000000001", "offline-732d31-1"}) {
      Files.createFile(folder.resolve(name));
    }
    first.setOffline("s-2");
    synchronizeBoth();
    assertEquals(Set.of("s-2"), second.offline().keySet());
    assertTrue(Files.exists(folder.resolve("other")));
    assertTrue(OfflineUpstreams.isValidName("a".repeat(OfflineUpstreams.MAX_NAME_BYTES)));
    first.setOffline("a".repeat(OfflineUpstreams.MAX_NAME_BYTES));
    synchronizeBoth();
    assertEquals(2, second.offline().size());
    assertFalse(OfflineUpstreams.isValidName("ü".repeat(OfflineUpstreams.MAX_NAME_BYTES)) || OfflineUpstreams.isValidName(""));
  }
}
