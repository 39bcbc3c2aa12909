package cloverpulley.fleet;

import cloverpulley.config.Section;
import cloverpulley.engine.Engine;
import cloverpulley.engine.ServerList;
import cloverpulley.Balancer.ListKind;
import io.netty.channel.EventLoop;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * A source of server lists that another module provides, found by {@link java.util.ServiceLoader} and enabled by its table within
 * {@code [fleet]}, so that frontends need not know the sources.
 */
public interface ListProvider {

  /** The key of its table in {@code [fleet]}. */
  String key();

  /** Reads the table. */
  SourceFactory read(Section section);

  /** Opens the source. */
  interface SourceFactory {
    /**
     * Opens the source. It is called on {@code loop} and runs there.
     *
     * @param cached the list that was cached last
     * @param revision the revision of the list that the frontend uses
     * @param listener receives lists and changes to them
     */
    Engine.ListSource open(EventLoop loop, ServerList cached, LongSupplier revision, BiConsumer<ListKind, ServerList> listener);
  }
}
