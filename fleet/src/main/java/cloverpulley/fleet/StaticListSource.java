package cloverpulley.fleet;

import cloverpulley.Balancer.ListKind;
import cloverpulley.engine.Engine;
import cloverpulley.engine.Fleet;
import cloverpulley.engine.ServerList;
import java.util.List;
import java.util.function.BiConsumer;

/** A list written in the operators' file: it changes when the file is read again, and is never asked for in vain. */
public final class StaticListSource implements Engine.ListSource {

  private final Fleet fleet;
  private final BiConsumer<ListKind, ServerList> news;

  /** {@code news} is told of the list as it is held whenever it is asked for. */
  public StaticListSource(Fleet fleet, BiConsumer<ListKind, ServerList> news) {
    this.fleet = fleet;
    this.news = news;
  }

  @Override
  public void watch(boolean on) {
    news.accept(ListKind.DELTA, new ServerList(0, false, List.of()));
  }

  @Override
  public void fetch() {
    news.accept(ListKind.FULL, fleet.list());
  }
}
