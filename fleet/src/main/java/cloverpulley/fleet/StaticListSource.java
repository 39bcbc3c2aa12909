package cloverpulley.fleet;

import cloverpulley.Balancer.ListKind;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import java.util.List;
import java.util.function.BiConsumer;

/** The list in the configuration file. It changes when the file is reloaded, and fetching it always succeeds. */
public final class StaticListSource implements Engine.ListSource {

  private final Fleet fleet;
  private final BiConsumer<ListKind, ServerList> listener;

  /** {@code listener} receives the current list whenever it is fetched. */
  public StaticListSource(Fleet fleet, BiConsumer<ListKind, ServerList> listener) {
    this.fleet = fleet;
    this.listener = listener;
  }

  @Override
  public void watch(boolean on) {
    listener.accept(ListKind.DELTA, new ServerList(0, false, List.of()));
  }

  @Override
  public void fetch() {
    listener.accept(ListKind.FULL, fleet.list());
  }
}
