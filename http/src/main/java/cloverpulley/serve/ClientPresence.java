package cloverpulley.serve;

/** Whether the client of a request is still connected, as far as its socket shows. */
enum ClientPresence {
  CONNECTED,
  GONE,
  /** More data is unread than there is memory to read before its turn: a close behind it can't be seen. */
  UNKNOWN
}
