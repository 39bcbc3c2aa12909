package cloverpulley.dns.client;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Batches flushes: channels are flushed once the event loop has run its pending tasks, so that several writes share a system call. */
public final class Flusher {

  private final EventLoop loop;
  private final Set<Channel> unflushed = new HashSet<>();
  private boolean scheduled;

  public Flusher(EventLoop loop) {
    this.loop = loop;
  }

  /** Schedules a flush after a write to the channel. Call on the event loop. */
  public void flushLater(Channel channel) {
    unflushed.add(channel);
    if (!scheduled) {
      scheduled = true;
      loop.execute(() -> {
        scheduled = false;
        List<Channel> batch = List.copyOf(unflushed);
        unflushed.clear();
        batch.forEach(Channel::flush);
      });
    }
  }
}
