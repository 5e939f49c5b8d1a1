package org.shoreroad.daemon.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;

/**
 * The fields of a chat request's body that the gateway uses.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param model the model's name
 * @param isStreaming whether the caller requested a token stream
 * @param prefixKey the start of the prompt, for prefix affinity
 * @param expectedTokens the estimated number of tokens of prompt and answer
 */
record ChatBody(String model, boolean isStreaming, String prefixKey, long expectedTokens) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PREFIX_CHARS = 1_024;
  private static final int CHARS_PER_TOKEN = 4;
  private static final long DEFAULT_ANSWER_TOKENS = 256;
  private static final long MAX_ANSWER_TOKENS = 1_000_000;

  /**
   * Parses a body.
   *
   * @param bytes the body, not null
   * @return the parsed fields
   * @throws ShoreroadException if it is malformed or a field is missing or out of range
   */
  static ChatBody parse(byte[] bytes) {
    JsonNode root;
    try {
      root = MAPPER.readTree(bytes);
    } catch (IOException e) {
      throw badRequest("the body is not well-formed JSON");
    }
    if (root == null || !root.isObject()) {
      throw badRequest("the body is not a JSON object");
    }
    if (!root.path("model").isTextual()) {
      throw badRequest("the field 'model' is missing");
    }
    JsonNode messages = root.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw badRequest("the field 'messages' must be a list with at least one message");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw badRequest("the field 'stream' must be true or false");
    }
    String prompt = messages.toString();
    return new ChatBody(
        root.path("model").asText(),
        stream.asBoolean(false),
        prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length())),
        1 + prompt.getBytes(StandardCharsets.UTF_8).length / CHARS_PER_TOKEN + answerTokens(root));
  }

  private static long answerTokens(JsonNode root) {
    JsonNode max = root.path("max_tokens");
    if (max.isMissingNode() || max.isNull()) {
      return DEFAULT_ANSWER_TOKENS;
    }
    if (!max.isIntegralNumber() || max.asLong() < 1 || max.asLong() > MAX_ANSWER_TOKENS) {
      throw badRequest("the field 'max_tokens' must be a number from 1 to " + MAX_ANSWER_TOKENS);
    }
    return max.asLong();
  }

  private static ShoreroadException badRequest(String message) {
    return ShoreroadException.notRun(ErrorCode.BAD_REQUEST, message);
  }
}
