package cloverpulley.engine;

import cloverpulley.Balancer.BodyDiscarded;
import cloverpulley.Balancer.EndpointUpdate;
import cloverpulley.Balancer.Event;
import cloverpulley.Balancer.ProcessCountChanged;
import cloverpulley.Balancer.SettingsChanged;
import cloverpulley.Balancer.SnapshotRequested;
import cloverpulley.Balancer.SnapshotRestored;
import cloverpulley.Balancer.UpstreamSetOffline;
import cloverpulley.Balancer.UpstreamSetOnline;
import java.util.Map;

/** The names of the module's events in logs and stored records. A name stays the same when its event class is renamed. */
final class EventNames {

  /** Names of event classes that have been renamed; all others go by their simple class name. */
  private static final Map<Class<? extends Event>, String> STORED = Map.of(
      EndpointUpdate.class, "ListNews",
      UpstreamSetOffline.class, "TakenOut",
      UpstreamSetOnline.class, "CalledBack",
      SettingsChanged.class, "Retuned",
      ProcessCountChanged.class, "Beside",
      BodyDiscarded.class, "Unrepeatable",
      SnapshotRequested.class, "HandOver",
      SnapshotRestored.class, "Inherited");

  private EventNames() {}

  static String of(Class<? extends Event> type) {
    return STORED.getOrDefault(type, type.getSimpleName());
  }
}
