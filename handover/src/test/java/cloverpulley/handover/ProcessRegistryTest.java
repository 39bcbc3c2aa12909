package cloverpulley.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.handover.ProcessRegistry.Lifecycle;
import cloverpulley.handover.ProcessRegistry.PeerProcess;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ProcessRegistryTest {

  private static final String FIRST = "process-1000000000000001000-0000000000000000007";
  private static final String SECOND = "process-1000000000000001001-0000000000000000003";

  @TempDir
  private Path folder;

  private static void clear(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  @Test
  void processesSeeEachOtherWhileTheyRun() throws IOException {
    try (ProcessRegistry first = ProcessRegistry.of(folder, 1000, 7)) {
      assertEquals(List.of(), first.refresh(Lifecycle.STARTING, 0));
      try (ProcessRegistry second = ProcessRegistry.of(folder, 1001, 3)) {
        second.refresh(Lifecycle.STARTING, 0);
        assertEquals(List.of(new PeerProcess(SECOND, true, Lifecycle.STARTING, 0)), first.refresh(Lifecycle.SERVING, 5));
        assertEquals(List.of(new PeerProcess(FIRST, false, Lifecycle.SERVING, 5)), second.refresh(Lifecycle.SERVING, 93));
        assertEquals(List.of(new PeerProcess(SECOND, true, Lifecycle.SERVING, 93)), first.refresh(Lifecycle.LEAVING, 20));
        assertEquals(List.of(new PeerProcess(FIRST, false, Lifecycle.LEAVING, 20)), second.refresh(Lifecycle.LEAVING, 9));
        first.refresh(Lifecycle.LEAVING, 20);
      }
      assertEquals(List.of(), first.refresh(Lifecycle.LEAVING, 20));
    }
  }

  @Test
  void aProcessWhoseFolderWasEmptiedPublishesItselfAgain() throws IOException {
    try (ProcessRegistry old = ProcessRegistry.of(folder.resolve("shared"), 1000, 7);
        ProcessRegistry fresh = ProcessRegistry.of(folder.resolve("shared"), 1001, 3)) {
      old.refresh(Lifecycle.SERVING, 5);
      clear(folder.resolve("shared"));
      assertEquals(List.of(), fresh.refresh(Lifecycle.STARTING, 0), "the old process is not visible before its next refresh");
      assertEquals(List.of(new PeerProcess(SECOND, true, Lifecycle.STARTING, 0)), old.refresh(Lifecycle.SERVING, 6));
      assertEquals(List.of(new PeerProcess(FIRST, false, Lifecycle.SERVING, 6)), fresh.refresh(Lifecycle.STARTING, 0));
      clear(folder.resolve("shared"));
      Files.createDirectories(folder.resolve("shared"));
      Files.write(folder.resolve("shared").resolve(FIRST), new byte[] {1, 0, 0, 0, 9});
      old.refresh(Lifecycle.SERVING, 6);
      assertEquals(List.of(new PeerProcess(FIRST, false, Lifecycle.SERVING, 6)), fresh.refresh(Lifecycle.STARTING, 0),
          "a copy of its file was taken for its own");
    }
  }

  @Test
  void aVanishedFileDoesNotMeanThatItsProcessHasEnded() throws IOException {
    AtomicLong clock = new AtomicLong();
    try (ProcessRegistry old = ProcessRegistry.of(folder, 1000, 7, clock::get); ProcessRegistry fresh = ProcessRegistry.of(folder, 1001, 3)) {
      old.refresh(Lifecycle.SERVING, 5);
      fresh.refresh(Lifecycle.SERVING, 0);
      List<PeerProcess> successor = List.of(new PeerProcess(SECOND, true, Lifecycle.SERVING, 0));
      assertEquals(successor, old.refresh(Lifecycle.SERVING, 5));
      clear(folder);
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(300));
      assertEquals(successor, old.refresh(Lifecycle.SERVING, 5));
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(300));
      assertEquals(List.of(), old.refresh(Lifecycle.SERVING, 5), "it had time to publish itself again");
    }
  }

  @Test
  void aSuccessorSortsAfterAReleaseThatNamedItsFileByWallClock() throws IOException {
    try (ProcessRegistry fresh = ProcessRegistry.of(folder, 5, 3)) {
      String released = "process-" + String.format("%019d-%019d", 1_800_000_000_000L, 7);
      assertTrue(released.compareTo(FIRST) < 0);
      fresh.refresh(Lifecycle.STARTING, 0);
      try (Stream<Path> files = Files.list(folder)) {
        assertTrue(files.allMatch(f -> f.getFileName().toString().compareTo(released) > 0));
      }
    }
  }

  /** Processes join while another one keeps scanning: a joining process must not be taken for dead, nor be kept from locking its file. */
  @Test
  void aProcessThatJoinsWhileAnotherScansIsSeen() throws Exception {
    try (ProcessRegistry first = ProcessRegistry.of(folder, 1000, 7)) {
      AtomicBoolean stopped = new AtomicBoolean();
      CompletableFuture<Void> scans = CompletableFuture.runAsync(() -> {
        try (ProcessRegistry scanning = ProcessRegistry.of(folder, 1000, 8)) {
          while (!stopped.get()) {
            scanning.refresh(Lifecycle.SERVING, 0);
          }
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      });
      try {
        for (int i = 0; i < 3000; i++) {
          int number = i;
          try (ProcessRegistry joining = ProcessRegistry.of(folder, 2000, number)) {
            joining.refresh(Lifecycle.STARTING, 0);
            assertTrue(first.refresh(Lifecycle.SERVING, 0).stream().anyMatch(o -> o.name().endsWith(String.format("%019d", number))),
                "the " + i + "th was removed");
          }
        }
      } finally {
        stopped.set(true);
      }
      scans.get();
    }
  }

  /** A killed process leaves its file without a lock; a file may also be truncated, or be unrelated. */
  @Test
  void deadProcessesAreNotTakenForAlive() throws IOException {
    try (ProcessRegistry me = ProcessRegistry.of(folder, 1000, 7)) {
      Path dead = Files.write(folder.resolve("process-9-9"), new byte[] {1, 0, 0, 0, 9});
      Path halfWritten = Files.write(folder.resolve("new-process-9-9"), new byte[] {1});
      Files.write(folder.resolve("something"), new byte[] {1});
      assertEquals(List.of(), me.refresh(Lifecycle.SERVING, 0));
      assertFalse(Files.exists(dead) || Files.exists(halfWritten), "files of a dead process remain");
      assertTrue(Files.exists(folder.resolve("something")));
    }
    try (Stream<Path> remaining = Files.list(folder)) {
      assertEquals(List.of(folder.resolve("something")), remaining.toList());
    }
  }
}
