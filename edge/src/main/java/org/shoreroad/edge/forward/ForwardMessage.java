package org.shoreroad.edge.forward;

import java.util.List;
import java.util.Objects;
import org.shoreroad.http.HttpGrammar;

/**
 * Message between a process and the one that sends calls to upstreams for it.
 *
 * <p>Numbers identify calls within one connection. All messages are immutable, provided that their
 * byte arrays are not changed; they are not copied.
 */
interface ForwardMessage {
  /** Returns the number of the call, 0 if the message is about none. */
  long number();

  /**
   * Call to send to an upstream.
   *
   * @param upstream the id of the upstream, not null
   * @param headers names and values of the headers in turn, not null
   * @param maxConnections the number of connections to the upstream that the sender may have
   * @param bodyBytes the size of the whole body, of which parts may follow, in bytes
   * @param body the first part of the body, not null
   */
  record Call(
      long number,
      String upstream,
      String method,
      String uri,
      List<String> headers,
      int maxConnections,
      int bodyBytes,
      byte[] body)
      implements ForwardMessage {
    /** Copies the headers. */
    public Call {
      Objects.requireNonNull(upstream, "upstream");
      headers = List.copyOf(headers);
    }

    /** Returns the same call without the first part of its body. */
    Call withoutBody() {
      return new Call(
          number, upstream, method, uri, headers, maxConnections, bodyBytes, new byte[0]);
    }
  }

  /** Next part of the body of a call. */
  record Body(long number, byte[] bytes) implements ForwardMessage {}

  /** End of a call that is no longer wanted. */
  record Cancel(long number) implements ForwardMessage {}

  /** Pause or resumption of reading the answer. */
  record Reading(long number, boolean isReading) implements ForwardMessage {}

  /** Question whether connections to an upstream are established. */
  record Probe(long number, String upstream) implements ForwardMessage {}

  /** Question that is answered at once, to detect a dead connection. */
  record Ping(long number) implements ForwardMessage {}

  /**
   * Head of an answer.
   *
   * @param headers names and values of the headers in turn, not null
   */
  record Head(long number, int status, String reasonPhrase, List<String> headers)
      implements ForwardMessage {
    /** Copies the headers. */
    public Head {
      headers = List.copyOf(headers);
    }

    /**
     * Returns true if it is the head of a final answer under the grammar of HTTP. A process of an
     * earlier release may send others.
     */
    boolean isWellFormed() {
      return HttpGrammar.isFinalStatus(status)
          && HttpGrammar.isText(reasonPhrase)
          && HeaderFields.areWellFormed(headers);
    }
  }

  /** Part of the body of an answer. */
  record Content(long number, byte[] bytes) implements ForwardMessage {}

  /** End of a complete answer. */
  record End(long number) implements ForwardMessage {}

  /**
   * Failure of a call.
   *
   * @param reason the name of the reason, not null
   * @param isSent true if a byte of the request may have been sent to the upstream
   */
  record Failed(long number, String reason, boolean isSent) implements ForwardMessage {}

  /**
   * Answer to {@link Probe}.
   *
   * @param outcome the name of the outcome, not null
   */
  record Probed(long number, String outcome) implements ForwardMessage {}

  /** Answer to {@link Ping}. */
  record Pong(long number) implements ForwardMessage {}
}
