package cloverpulley.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(value = 1, unit = TimeUnit.MINUTES)
class HeldListTest {

  private static ServerList list(int revision) {
    return new ServerList(revision, true, List.of(new ServerList.Server("s-1", new InetSocketAddress("127.0.0.1", 1), "a", 0, State.READY, 1, 0)));
  }

  @Test
  void aListThatCouldNotBeWrittenIsWrittenOnceTheFolderWorksAgain(@TempDir Path folder) throws Exception {
    Path parent = Files.createFile(folder.resolve("parent"));
    Path file = parent.resolve("list");
    try (HeldList held = new HeldList(file)) {
      held.write(list(41));
      held.write(list(42));
      Files.delete(parent);
      while (!Files.exists(file)) {
        Thread.onSpinWait();
      }
      assertEquals(42, HeldList.read(file).revision());
      held.close(); // Owners may close it twice.
    }
  }
}
