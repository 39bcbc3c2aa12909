package cloverpulley.incident;

/**
 * Who wrote a record: one life of one instance.
 *
 * @param instance its name, which its successors carry on
 * @param start when this life began, microseconds by its own clock: two lives never share one
 */
public record Origin(String instance, long start) implements Comparable<Origin> {

  @Override
  public int compareTo(Origin o) {
    int by = instance.compareTo(o.instance);
    return by != 0 ? by : Long.compare(start, o.start);
  }
}
