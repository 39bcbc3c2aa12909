package cloverpulley.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.handover.Meeting.Other;
import cloverpulley.handover.Meeting.Stage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SharedFolderTest {

  private static final String FIRST = "process-0000000000000001000-0000000000000000007";
  private static final String SECOND = "process-0000000000000001001-0000000000000000003";

  @TempDir
  private Path folder;

  @Test
  void processesSeeOneAnotherForAsLongAsTheyLive() throws IOException {
    try (Meeting first = Meeting.join(folder, 1000, 7)) {
      assertEquals(List.of(), first.others());
      try (Meeting second = Meeting.join(folder, 1001, 3)) {
        assertEquals(List.of(new Other(SECOND, true, Stage.STARTING, 0)), first.others());
        second.tell(Stage.SERVING, 93);
        first.tell(Stage.LEAVING, 20);
        assertEquals(List.of(new Other(SECOND, true, Stage.SERVING, 93)), first.others());
        assertEquals(List.of(new Other(FIRST, false, Stage.LEAVING, 20)), second.others());
      }
      assertEquals(List.of(), first.others());
    }
  }

  /** A process joins while another looks, again and again: it is never taken for a dead one, nor kept from its lock. */
  @Test
  void whoJoinsWhileAnotherLooksIsSeen() throws Exception {
    try (Meeting first = Meeting.join(folder, 1000, 7)) {
      AtomicBoolean over = new AtomicBoolean();
      CompletableFuture<Void> looks = CompletableFuture.runAsync(() -> {
        try (Meeting looking = Meeting.join(folder, 1000, 8)) {
          while (!over.get()) {
            looking.others();
          }
        } catch (IOException e) {
          throw new UncheckedIOException(e);
        }
      });
      try {
        for (int i = 0; i < 3000; i++) {
          int number = i;
          try (Meeting joins = Meeting.join(folder, 2000, number)) {
            assertTrue(first.others().stream().anyMatch(o -> o.name().endsWith(String.format("%019d", number))), "the " + i + "th was removed");
          }
        }
      } finally {
        over.set(true);
      }
      looks.get();
    }
  }

  /** A killed process leaves its file, on which nobody holds a lock; a file may also be cut, or be somebody else's. */
  @Test
  void theDeadAreNotTakenForAlive() throws IOException {
    try (Meeting me = Meeting.join(folder, 1000, 7)) {
      Path dead = Files.write(folder.resolve("process-9-9"), new byte[] {1, 0, 0, 0, 9});
      Files.write(folder.resolve("something"), new byte[] {1});
      assertEquals(List.of(), me.others());
      assertFalse(Files.exists(dead), "what a dead process left stays");
      assertTrue(Files.exists(folder.resolve("something")));
    }
    try (Stream<Path> left = Files.list(folder)) {
      assertEquals(List.of(folder.resolve("something")), left.toList());
    }
  }

  @Test
  void whatIsOutIsTheSameForBothAndTheLastCallCounts() throws IOException {
    Outs here = new Outs(folder);
    Outs there = new Outs(folder);
    assertTrue(here.add("s-1") && here.add("../../x y/ü") && there.add("s-2") && there.add("s-1"));
    assertEquals(Set.of("s-1", "s-2", "../../x y/ü"), there.all().keySet());
    there.remove("s-1");
    there.remove("s-1");
    there.remove("s-never");
    assertEquals(Set.of("s-2", "../../x y/ü"), here.all().keySet());
  }

  /** Its time is that of the first call, whoever asks again. */
  @Test
  void itIsOutSinceTheFirstCall() throws IOException {
    Outs outs = new Outs(folder);
    outs.add("s-1");
    Path file;
    try (Stream<Path> files = Files.list(folder)) {
      file = files.findFirst().get();
    }
    Files.setLastModifiedTime(file, FileTime.fromMillis(123_000));
    outs.add("s-1");
    assertEquals(123_000L, outs.all().get("s-1"));
  }

  @Test
  void whatThisProgramDidNotMakeIsPassedOver() throws IOException {
    Outs outs = new Outs(folder);
    Files.createFile(folder.resolve("out-zz"));
    Files.createFile(folder.resolve("out-ff"));
    Files.createFile(folder.resolve("other"));
    outs.add("s-1");
    assertEquals(Set.of("s-1"), outs.all().keySet());
    assertTrue(Outs.fits("a".repeat(Outs.MOST_BYTES)));
    assertTrue(outs.add("a".repeat(Outs.MOST_BYTES)));
    assertFalse(Outs.fits("ü".repeat(Outs.MOST_BYTES)) || Outs.fits(""));
  }
}
