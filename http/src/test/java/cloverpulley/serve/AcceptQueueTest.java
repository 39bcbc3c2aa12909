package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** How long connections may have waited to be accepted, where accepting fails, on a virtual clock. */
class AcceptQueueTest {

  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

  private final AtomicLong now = new AtomicLong();
  private final AcceptQueue queue = new AcceptQueue(now::get, () -> 0);

  /** Accepts with these results in turn: a connection, null, or a failure. */
  private static AcceptQueue.Acceptor results(Object... results) {
    Queue<Object> remaining = new ArrayDeque<>();
    Arrays.stream(results).forEach(r -> remaining.add(r == null ? "none" : r));
    return () -> {
      Object next = remaining.remove();
      if (next instanceof IOException e) {
        throw e;
      }
      return next instanceof SocketChannel s ? s : null;
    };
  }

  @Test
  void interruptedAcceptDoesNotEndTheWaitOfTheConnectionsInTheQueue() throws IOException {
    try (SocketChannel connection = SocketChannel.open()) {
      assertSame(connection, queue.accept(results(connection)));
      for (int i = 0; i < 10; i++) {
        now.addAndGet(30 * MS);
        assertSame(connection, queue.accept(results(null, connection)));
      }
      assertEquals(300 * MS, queue.maxQueuedNanos());
    }
  }

  @Test
  void connectionsWaitWhileAcceptingFails() throws IOException {
    try (SocketChannel connection = SocketChannel.open()) {
      assertThrows(IOException.class, () -> queue.accept(results(new IOException("EMFILE"))));
      now.addAndGet(50 * MS);
      assertSame(connection, queue.accept(results(connection)));
      assertEquals(50 * MS, queue.maxQueuedNanos());
    }
  }

  /** The failure may have taken the only connection out of the queue, and a limit of connections per read may have emptied it. */
  @Test
  void connectionThatComesLongAfterAnotherOrAFailureHasNotWaited() throws IOException {
    try (SocketChannel connection = SocketChannel.open()) {
      assertSame(connection, queue.accept(results(connection)));
      assertThrows(IOException.class, () -> queue.accept(results(new IOException("ECONNABORTED"))));
      now.addAndGet(10_000 * MS);
      assertSame(connection, queue.accept(results(connection)));
      assertEquals(0, queue.maxQueuedNanos());
    }
  }

  @Test
  void emptyQueueEndsTheWait() throws IOException {
    try (SocketChannel connection = SocketChannel.open()) {
      assertSame(connection, queue.accept(results(connection)));
      now.addAndGet(300 * MS);
      assertNull(queue.accept(results(null, null)));
      now.addAndGet(300 * MS);
      assertSame(connection, queue.accept(results(connection)));
      assertEquals(0, queue.maxQueuedNanos());
    }
  }
}
