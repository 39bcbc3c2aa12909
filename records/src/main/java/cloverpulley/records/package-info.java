/**
 * The service's own event records: all frontends write them to segments of compressed blocks with checksums and an index at the end. The
 * reader also handles truncated, corrupt and still growing files.
 */
package cloverpulley.records;
