package org.shoreroad.quarantine;

import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Part of a prompt that requests share, as the upstreams of one model read it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param model the name of the model, not null
 * @param id the id of the part, not null
 * @since 0.2
 */
public record PromptPart(String service, String model, String id) {
  /** Maximum length of a text that callers choose, in characters; bounds memory and reports. */
  private static final int MAX_LENGTH = 64;

  private static final ByteBuffer NO_BODY = ByteBuffer.allocate(0).asReadOnlyBuffer();

  /** Checks that no component is null. */
  public PromptPart {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(id, "id");
  }

  /**
   * Returns the parts with these ids; a long text is replaced by its digest.
   *
   * @param service the name of the service, not null
   * @param model the name of the model, not null
   * @param ids the ids of the parts, not null
   */
  public static Set<PromptPart> allOf(String service, String model, Collection<String> ids) {
    String shortModel = shorten(model);
    Set<PromptPart> parts = new LinkedHashSet<>();
    ids.forEach(id -> parts.add(new PromptPart(service, shortModel, shorten(id))));
    return parts;
  }

  private static String shorten(String text) {
    return text.length() <= MAX_LENGTH
        ? text
        : RequestFingerprint.of("", "", "", text, NO_BODY).toString();
  }

  // Explicit, because the generated methods use method handles: their first use in a process costs
  // 20 to 40 ms of processor time.

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof PromptPart that
        && id.equals(that.id)
        && model.equals(that.model)
        && service.equals(that.service);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * id.hashCode() + model.hashCode()) + service.hashCode();
  }

  /** Returns the text form for log lines and keys, such as {@code pool/large/5c1e07a2}. */
  @Override
  public String toString() {
    return service + "/" + model + "/" + id;
  }
}
