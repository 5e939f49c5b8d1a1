package org.shoreroad.edge.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreroad.http.HttpGrammar;

/** Conversion of HTTP headers to a list of names and values in turn, and back. Thread-safe. */
final class HeaderFields {
  private HeaderFields() {}

  static List<String> toList(HttpHeaders headers) {
    List<String> fields = new ArrayList<>();
    for (Map.Entry<String, String> header : headers) {
      fields.add(header.getKey());
      fields.add(header.getValue());
    }
    return fields;
  }

  /** Adds the fields to the headers; a name without a value at the end is ignored. */
  static void addTo(HttpHeaders headers, List<String> fields) {
    for (int i = 0; i + 1 < fields.size(); i += 2) {
      headers.add(fields.get(i), fields.get(i + 1));
    }
  }

  /** Returns true if each name is a token and is followed by a value without control characters. */
  static boolean areWellFormed(List<String> fields) {
    for (int i = 0; i < fields.size(); i += 2) {
      boolean hasValue = i + 1 < fields.size() && HttpGrammar.isText(fields.get(i + 1));
      if (!hasValue || !HttpGrammar.isToken(fields.get(i))) {
        return false;
      }
    }
    return true;
  }
}
