package cloverpulley.outs;

/** A member's health as an observer sees it; with any other than {@link #WARM} the member counts as out. */
public enum Health { WARM, COLD, SILENT, DEAD }
