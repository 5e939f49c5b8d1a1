package org.shoreroad.daemon.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;

/**
 * What the gateway needs to know of a chat request's body.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param model the model's name
 * @param isStreaming whether the answer is wanted token by token
 * @param prefixKey what the prompt begins with, for affinity
 * @param expectedTokens how many tokens prompt and answer may need
 */
record ChatBody(String model, boolean isStreaming, String prefixKey, long expectedTokens) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PREFIX_CHARS = 1_024;
  private static final int CHARS_PER_TOKEN = 4;
  private static final long STANDARD_ANSWER_TOKENS = 256;
  private static final long MAX_ANSWER_TOKENS = 1_000_000;

  /**
   * Parses a body.
   *
   * @param bytes the body, not null
   * @return what it says
   * @throws ShoreroadException if it is malformed or a field is missing or out of range
   */
  static ChatBody parse(byte[] bytes) {
    JsonNode root;
    try {
      root = MAPPER.readTree(bytes);
    } catch (IOException e) {
      throw bad("the body is not well-formed JSON");
    }
    if (root == null || !root.isObject()) {
      throw bad("the body is no JSON object");
    }
    if (!root.path("model").isTextual()) {
      throw bad("the field 'model' is missing");
    }
    JsonNode messages = root.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw bad("the field 'messages' must be a list with at least one message");
    }
    JsonNode stream = root.path("stream");
    if (!stream.isMissingNode() && !stream.isBoolean()) {
      throw bad("the field 'stream' must be true or false");
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
      return STANDARD_ANSWER_TOKENS;
    }
    if (!max.isIntegralNumber() || max.asLong() < 1 || max.asLong() > MAX_ANSWER_TOKENS) {
      throw bad("the field 'max_tokens' must be a number from 1 to " + MAX_ANSWER_TOKENS);
    }
    return max.asLong();
  }

  private static ShoreroadException bad(String message) {
    return ShoreroadException.notRun(ErrorCode.BAD_REQUEST, message);
  }
}
