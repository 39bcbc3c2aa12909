package cloverpulley.incident;

/**
 * The incarnation of an instance that wrote a record.
 *
 * @param instance name of the instance; successor processes keep it
 * @param start when this incarnation began, in microseconds of its own clock; no two incarnations of an instance share a value
 */
public record Origin(String instance, long start) implements Comparable<Origin> {

  @Override
  public int compareTo(Origin o) {
    int byInstance = instance.compareTo(o.instance);
    return byInstance != 0 ? byInstance : Long.compare(start, o.start);
  }
}
