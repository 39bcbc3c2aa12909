package cloverpulley.serve;

import io.netty.channel.Channel;

/** Counts the open sockets against what the process may hold. */
final class Sockets {

  /** Descriptors of the process itself: jar, standard streams, selector, listeners, discovery. */
  private static final int OWN = 64;
  /** Kept for clients, whose connections the machine accepts whether or not there is room. */
  private static final int FOR_CLIENTS = 64;

  private final int most;
  private int open;

  Sockets(int limit) {
    most = limit - OWN;
  }

  void opened(Channel channel) {
    open++;
    channel.closeFuture().addListener(f -> open--);
  }

  /** Whether so few are open that one more may go to an upstream. */
  boolean roomForUpstream() {
    return open < most - FOR_CLIENTS;
  }

  boolean roomForClient() {
    return open < most;
  }
}
