package cloverpulley.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cloverpulley.Balancer.Event;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class EventNamesTest {

  /**
   * Stored records and log searches hold these names: none may change when an event class is renamed. The name of a new event class is added
   * here; without an entry in {@link EventNames} it is the class's own.
   */
  @Test
  void everyEventKeepsItsStoredName() {
    Map<String, String> expected = new TreeMap<>(Map.ofEntries(
        Map.entry("EndpointUpdate", "ListNews"),
        Map.entry("Request", "Request"),
        Map.entry("AnswerBegan", "AnswerBegan"),
        Map.entry("AnswerStalled", "AnswerStalled"),
        Map.entry("AnswerStarted", "AnswerStarted"),
        Map.entry("Outcome", "Outcome"),
        Map.entry("ClientGone", "ClientGone"),
        Map.entry("TimerFired", "TimerFired"),
        Map.entry("ProbeResult", "ProbeResult"),
        Map.entry("PeerMessage", "PeerMessage"),
        Map.entry("UpstreamSetOffline", "TakenOut"),
        Map.entry("UpstreamSetOnline", "CalledBack"),
        Map.entry("SnapshotRequested", "HandOver"),
        Map.entry("SnapshotRestored", "Inherited"),
        Map.entry("ProcessCountChanged", "Beside"),
        Map.entry("SettingsChanged", "Retuned"),
        Map.entry("BodyPending", "BodyPending"),
        Map.entry("BodyEnded", "BodyEnded"),
        Map.entry("BodyDiscarded", "Unrepeatable")));
    Map<String, String> names = new TreeMap<>();
    for (Class<?> type : Event.class.getPermittedSubclasses()) {
      names.put(type.getSimpleName(), EventNames.of(type.asSubclass(Event.class)));
    }
    assertEquals(expected, names);
  }
}
