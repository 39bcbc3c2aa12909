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
  void retriesAWriteUntilItsDirectoryIsUsable(@TempDir Path directory) throws Exception {
    Path parent = Files.createFile(directory.resolve("parent"));
    Path file = parent.resolve("list");
    try (HeldList cachedList = new HeldList(file)) {
      cachedList.write(list(41));
      cachedList.write(list(42));
      Files.delete(parent);
      while (!Files.exists(file)) {
        Thread.onSpinWait();
      }
      assertEquals(42, HeldList.read(file).revision());
      cachedList.close(); // A second close must be harmless.
    }
  }
}
