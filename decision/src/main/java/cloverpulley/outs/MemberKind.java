package cloverpulley.outs;

/** What a member of the ledger is. */
public enum MemberKind { BALANCER, UPSTREAM }
