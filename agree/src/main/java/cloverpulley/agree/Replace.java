package cloverpulley.agree;

/** The request to replace one voter by another. */
record Replace(String from, String to) {

  Replace {
    if (from == null || to == null || from.isEmpty() || to.isEmpty() || !AgreeConfig.isName(from) || !AgreeConfig.isName(to)) {
      throw new IllegalArgumentException("expected the names of two voters");
    }
  }
}
