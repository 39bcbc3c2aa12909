package cloverpulley.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One random number stream per concern, so that additional draws in one place do not change the numbers drawn in another. */
final class RandomStreams {

  final UniformRandomProvider arrivals;
  final UniformRandomProvider work;
  final UniformRandomProvider network;
  final UniformRandomProvider choice;
  final UniformRandomProvider faults;

  RandomStreams(long seed) {
    arrivals = stream(seed, 1);
    work = stream(seed, 2);
    network = stream(seed, 3);
    choice = stream(seed, 4);
    faults = stream(seed, 5);
  }

  private static UniformRandomProvider stream(long seed, int concern) {
    return RandomSource.XO_SHI_RO_256_PP.create(new long[] {seed, concern, seed * 31 + concern, 0x9e3779b97f4a7c15L});
  }

  /** Draws from the exponential distribution with the given mean. */
  static double exponential(UniformRandomProvider r, double mean) {
    return -Math.log(1 - r.nextDouble()) * mean;
  }
}
