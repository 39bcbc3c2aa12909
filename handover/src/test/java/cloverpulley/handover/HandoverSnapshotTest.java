package cloverpulley.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.State;
import cloverpulley.engine.ServerList;
import cloverpulley.engine.ServerList.Server;
import cloverpulley.handover.HandoverSnapshot.UnusableSnapshotException;
import cloverpulley.handover.ProcessRegistry.Lifecycle;
import cloverpulley.handover.ProcessRegistry.PeerProcess;
import cloverpulley.state.BalancerSnapshot;
import cloverpulley.state.BalancerSnapshot.UpstreamSnapshot;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HandoverSnapshotTest {

  private static final long AT = 1_800_000_000_000L;
  private static final double[] VALUES = {1, 2, 3, 4.5, 5};

  private static HandoverSnapshot snapshot(double retryTokens) {
    List<Server> servers = List.of(
        new Server("s-1", new InetSocketAddress("127.0.0.1", 8001), "a", 3, State.READY, 1.5, 17),
        new Server("s-2", new InetSocketAddress("::1", 8002), "b", 4, State.DRAINING, 1, 0));
    BalancerSnapshot balancerSnapshot = new BalancerSnapshot(List.of(new UpstreamSnapshot(7, -1, false, 0, 0.5, 1.25, 1, 2, 3, 4, VALUES),
        new UpstreamSnapshot(8, 99, true, 50, 0, 1, 0, 0, 0, -1, VALUES)), Map.of("c t k", VALUES), VALUES, 2, 3, 4, 5, retryTokens);
    return new HandoverSnapshot(new ServerList(41, true, servers), List.of("s-0", "s-1", "s-2"), balancerSnapshot);
  }

  @Test
  void decodingRestoresTheSnapshot() throws UnusableSnapshotException {
    HandoverSnapshot original = snapshot(6);
    HandoverSnapshot decoded = HandoverSnapshot.decode(original.encode(AT), AT + 500);
    assertEquals(original.list(), decoded.list());
    assertEquals(original.names(), decoded.names());
    assertArrayEquals(original.encode(AT), decoded.encode(AT));
    assertNull(HandoverSnapshot.decode(new HandoverSnapshot(original.list(), List.of(), null).encode(AT), AT).balancerSnapshot());
  }

  @Test
  void aSnapshotTruncatedAtAnyByteIsRejected() {
    byte[] encoded = snapshot(6).encode(AT);
    for (int i = 0; i < encoded.length; i++) {
      byte[] truncated = Arrays.copyOf(encoded, i);
      assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(truncated, AT));
    }
    assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(Arrays.copyOf(encoded, encoded.length + 1), AT));
  }

  /** A corrupt byte is detected anywhere but in the time of writing, which is checked separately. */
  @Test
  void aSnapshotWithAnyCorruptByteIsRejected() {
    byte[] encoded = snapshot(6).encode(AT);
    for (int i = 0; i < encoded.length; i++) {
      byte[] corrupt = encoded.clone();
      corrupt[i] ^= 0x40;
      if (i < 8 || i > 15) {
        assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(corrupt, AT), "byte " + i);
      }
    }
  }

  @Test
  void thePreviousVersionIsReadWhateverItsWallClockTime() throws UnusableSnapshotException {
    byte[] encoded = snapshot(6).encode(AT);
    ByteBuffer.wrap(encoded).putInt(4, 1);
    assertEquals(snapshot(6).list(), HandoverSnapshot.decode(encoded, 5).list());
  }

  @Test
  void anOldSnapshotOrAFutureVersionIsRejected() {
    byte[] encoded = snapshot(6).encode(AT);
    assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(encoded, AT + 3L * 86_400_000));
    assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(encoded, AT - 60_000));
    ByteBuffer.wrap(encoded).putInt(4, 3);
    assertEquals("unsupported version 3", assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(encoded, AT)).getMessage());
  }

  /** The checksum proves that a snapshot is complete, not that its values are valid. */
  @Test
  void aValueThatIsNotFiniteIsRejected() {
    assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(snapshot(Double.NaN).encode(AT), AT));
  }

  @Test
  void randomBytesAreRejected() {
    long seed = 20261201;
    Random random = new Random(seed);
    for (int i = 0; i < 2000; i++) {
      byte[] any = new byte[random.nextInt(200)];
      random.nextBytes(any);
      assertThrows(UnusableSnapshotException.class, () -> HandoverSnapshot.decode(any, AT), "seed " + seed);
    }
  }

  /** If there are too many names, the most recently listed are kept. */
  @Test
  void theEncodedLengthIsBounded() throws UnusableSnapshotException {
    List<String> names = Collections.nCopies(15_000, "n".repeat(100));
    HandoverSnapshot original = new HandoverSnapshot(ServerList.EMPTY, names, null);
    assertTrue(original.encode(AT).length <= HandoverSnapshot.MAX_BYTES);
    assertTrue(HandoverSnapshot.decode(original.encode(AT), AT).names().size() > 5000);
  }

  @Test
  void otherProcessesSeeTheLatestSnapshot(@TempDir Path folder) throws Exception {
    try (ProcessRegistry first = ProcessRegistry.of(folder, 1, 1); ProcessRegistry second = ProcessRegistry.of(folder, 2, 2)) {
      first.refresh(Lifecycle.SERVING, 0);
      PeerProcess peer = second.refresh(Lifecycle.STARTING, 0).get(0);
      assertNull(second.snapshot(peer, null, 100));
      first.publishSnapshot(new byte[] {1, 2, 3});
      ProcessRegistry.Snapshot snapshot = second.snapshot(peer, null, 100);
      assertArrayEquals(new byte[] {1, 2, 3}, snapshot.bytes());
      assertEquals(snapshot, second.snapshot(peer, snapshot, 100));
    }
  }
}
