package cloverpulley.dns.client;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Flushes channels once all that their loop has in hand has been written: what can go together goes in one call. */
public final class Flusher {

  private final EventLoop loop;
  private final Set<Channel> unflushed = new HashSet<>();
  private boolean scheduled;

  public Flusher(EventLoop loop) {
    this.loop = loop;
  }

  /** Something has been written to the channel, on the loop. */
  public void wrote(Channel channel) {
    unflushed.add(channel);
    if (!scheduled) {
      scheduled = true;
      loop.execute(() -> {
        scheduled = false;
        List<Channel> now = List.copyOf(unflushed);
        unflushed.clear();
        now.forEach(Channel::flush);
      });
    }
  }
}
