package cloverpulley.outs;

/** What can be out. */
public enum MemberKind { BALANCER, UPSTREAM }
