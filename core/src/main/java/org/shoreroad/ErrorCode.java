package org.shoreroad;

/**
 * The stable codes of every refusal and failure, with the HTTP status each is answered with.
 *
 * <p>Callers, operators and counters all use the same code. A code is never renamed or reused.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum ErrorCode {
  /** The body is not well-formed JSON or lacks a required field. */
  BAD_REQUEST("bad_request", 400),
  /** The client account's key is missing or unknown. */
  UNKNOWN_ACCOUNT("unknown_account", 401),
  /** No route lets this client account use this model or service for this request kind. */
  NOT_ROUTED("not_routed", 403),
  /** No such path. */
  NOT_FOUND("not_found", 404),
  /** The model is not declared. */
  UNKNOWN_MODEL("unknown_model", 404),
  /** The request kind is not declared. */
  UNKNOWN_KIND("unknown_kind", 400),
  /** The method is not supported on this path. */
  METHOD_NOT_ALLOWED("method_not_allowed", 405),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE("body_too_large", 413),
  /** A kind that may not be repeated needs an {@code Idempotency-Key}. */
  IDEMPOTENCY_KEY_REQUIRED("idempotency_key_required", 400),
  /** The key's request ran to its end earlier. */
  ALREADY_RAN("already_ran", 409),
  /** The key's request was started earlier and its outcome is unknown or still open. */
  ALREADY_STARTED("already_started", 409),
  /** The client account has as many requests open as it may have. */
  ACCOUNT_LIMIT("account_limit", 429),
  /** The replica's queue is full. */
  QUEUE_FULL("queue_full", 429),
  /** The deadline passed before the request was started. */
  DEADLINE_PASSED("deadline_passed", 504),
  /** The model has no whole replica at present. */
  NO_REPLICA("no_replica", 503),
  /** The process addressed does not own the replica. */
  NOT_OWNER("not_owner", 503),
  /** The replica's owner can't be reached. */
  OWNER_UNREACHABLE("owner_unreachable", 503),
  /** This process reaches neither the log nor enough peers, so it may not serve. */
  OUT_OF_CONTACT("out_of_contact", 503),
  /** The log can't be reached, and the request needs it. */
  LOG_UNAVAILABLE("log_unavailable", 503),
  /** This process is stopping. */
  STOPPING("stopping", 503),
  /** The upstream refused the request explicitly. */
  UPSTREAM_REFUSED("upstream_refused", 503),
  /** The upstream can't be reached: no byte of the request left. */
  UPSTREAM_UNREACHABLE("upstream_unreachable", 503),
  /** The connection to the upstream broke, or it answered out of form. */
  UPSTREAM_FAILED("upstream_failed", 502),
  /** A box of the replica went missing while the request was running. */
  REPLICA_LOST("replica_lost", 502),
  /** The owner was lost while the request was running. */
  OWNER_LOST("owner_lost", 502),
  /** The caller went away. */
  CALLER_GONE("caller_gone", 499),
  /** The configuration file has faults. */
  CONFIGURATION_INVALID("configuration_invalid", 422),
  /** The change was made on a base that others have changed since. */
  CONFIGURATION_CONFLICT("configuration_conflict", 409),
  /** The operator's token is missing or wrong. */
  OPERATOR_UNKNOWN("operator_unknown", 401),
  /** A defect in this program. */
  INTERNAL("internal", 500);

  private final String text;
  private final int httpStatus;

  ErrorCode(String text, int httpStatus) {
    this.text = text;
    this.httpStatus = httpStatus;
  }

  /**
   * Parses the text form of a code.
   *
   * @param text the text form, as {@link #toString()} gives it, not null
   * @return the code
   * @throws IllegalArgumentException if no code has this text
   */
  public static ErrorCode parse(String text) {
    for (ErrorCode code : values()) {
      if (code.text.equals(text)) {
        return code;
      }
    }
    throw new IllegalArgumentException("no such error code: " + text);
  }

  /** Returns the HTTP status that this code is answered with. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the text form, such as {@code queue_full}. */
  @Override
  public String toString() {
    return text;
  }
}
