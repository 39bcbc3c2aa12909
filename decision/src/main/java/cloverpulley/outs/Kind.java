package cloverpulley.outs;

/** What can be out. */
public enum Kind { BALANCER, UPSTREAM }
