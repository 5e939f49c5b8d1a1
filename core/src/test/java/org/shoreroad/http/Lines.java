package org.shoreroad.http;

/** Reads texts by one grammar. */
final class Lines {
  private Lines() {}

  /** Returns the outcome of the first byte that ends the part or violates the grammar, or MORE. */
  static LineSyntax.Outcome read(LineSyntax syntax, String text) {
    LineSyntax.Outcome outcome = LineSyntax.Outcome.MORE;
    for (int i = 0; i < text.length() && outcome == LineSyntax.Outcome.MORE; i++) {
      outcome = syntax.accept(text.charAt(i));
    }
    return outcome;
  }
}
