package cloverpulley.outs;

/** How somebody finds a member; all but {@link #WARM} count as out. */
public enum Health { WARM, COLD, SILENT, DEAD }
