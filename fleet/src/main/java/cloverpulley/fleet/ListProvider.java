package cloverpulley.fleet;

import cloverpulley.config.Section;
import cloverpulley.engine.Engine;
import cloverpulley.engine.ServerList;
import cloverpulley.Balancer.ListKind;
import io.netty.channel.EventLoop;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * A further kind of source of a fleet, which a module brings along (found by {@link java.util.ServiceLoader}): its table within
 * {@code [fleet]} turns it on. Fronts need not know which there are.
 */
public interface ListProvider {

  /** The table's name. */
  String key();

  /** Reads the table. */
  SourceFactory read(Section s);

  /** Begins to look for servers. */
  interface SourceFactory {
    /**
     * Opens the source, on {@code loop}, where all of it runs.
     *
     * @param held the list last held
     * @param revision the version of the list that the front holds
     * @param news told of lists and their changes
     */
    Engine.ListSource open(EventLoop loop, ServerList held, LongSupplier revision, BiConsumer<ListKind, ServerList> news);
  }
}
