package org.shoreroad;

/**
 * The codes of all refusals and failures, each with its HTTP status.
 *
 * <p>Responses to callers, operators' tools and metrics use the same codes. A code is never renamed
 * or reused.
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
  /** No route allows this client account to use this model or service for this request kind. */
  NOT_ROUTED("not_routed", 403),
  /** The path is unknown. */
  NOT_FOUND("not_found", 404),
  /** The model is not declared in the configuration. */
  UNKNOWN_MODEL("unknown_model", 404),
  /** The request kind is not declared in the configuration. */
  UNKNOWN_KIND("unknown_kind", 400),
  /** The method is not supported on this path. */
  METHOD_NOT_ALLOWED("method_not_allowed", 405),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE("body_too_large", 413),
  /** A request of a kind that must not be repeated lacks an {@code Idempotency-Key}. */
  IDEMPOTENCY_KEY_REQUIRED("idempotency_key_required", 400),
  /** A request with the same key ran to its end earlier. */
  ALREADY_RAN("already_ran", 409),
  /** A request with the same key was started earlier, and its outcome is unknown or still open. */
  ALREADY_STARTED("already_started", 409),
  /** The client account has reached its maximum number of open requests. */
  ACCOUNT_LIMIT("account_limit", 429),
  /** The replica's queue is full. */
  QUEUE_FULL("queue_full", 429),
  /** The deadline passed before the request was started. */
  DEADLINE_PASSED("deadline_passed", 504),
  /** The model currently has no complete replica. */
  NO_REPLICA("no_replica", 503),
  /** The process that received the request does not own the replica. */
  NOT_OWNER("not_owner", 503),
  /** The replica's owner can't be reached. */
  OWNER_UNREACHABLE("owner_unreachable", 503),
  /** The process can reach neither the log nor enough peers, so it must not serve requests. */
  OUT_OF_CONTACT("out_of_contact", 503),
  /** The request needs the log, which can't be reached. */
  LOG_UNAVAILABLE("log_unavailable", 503),
  /** The process is stopping. */
  STOPPING("stopping", 503),
  /** The upstream refused the request explicitly. */
  UPSTREAM_REFUSED("upstream_refused", 503),
  /** The upstream can't be reached; no byte of the request was sent. */
  UPSTREAM_UNREACHABLE("upstream_unreachable", 503),
  /** The connection to the upstream broke, or its answer was malformed. */
  UPSTREAM_FAILED("upstream_failed", 502),
  /** A box of the replica was lost while the request was running. */
  REPLICA_LOST("replica_lost", 502),
  /** The replica's owner was lost while the request was running. */
  OWNER_LOST("owner_lost", 502),
  /** The caller disconnected. */
  CALLER_GONE("caller_gone", 499),
  /** The configuration file has faults. */
  CONFIGURATION_INVALID("configuration_invalid", 422),
  /** The change is based on a version after which other operators changed the same keys. */
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
   * @param text the text form, as returned by {@link #toString()}, not null
   * @return the code
   * @throws IllegalArgumentException if no code has this text
   */
  public static ErrorCode parse(String text) {
    for (ErrorCode code : values()) {
      if (code.text.equals(text)) {
        return code;
      }
    }
    throw new IllegalArgumentException("unknown error code: " + text);
  }

  /** Returns the HTTP status of responses with this code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the text form, such as {@code queue_full}. */
  @Override
  public String toString() {
    return text;
  }
}
