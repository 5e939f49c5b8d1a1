package org.shoreroad.edge;

import java.util.Locale;
import java.util.Objects;

/**
 * Value of the configuration that is not used, while the rest of the configuration is.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param owner what the value belongs to, not null
 * @param ownerName the name of that service or account, not null
 * @param code the kind of value and the fault, for the counter, such as {@code key_empty}
 * @param why the reason, for the log, without any key, not null
 * @since 0.2
 */
public record IgnoredValue(Owner owner, String ownerName, String code, String why) {
  /** What a value belongs to. */
  public enum Owner {
    /** A service. */
    SERVICE,
    /** A client account. */
    ACCOUNT;

    /** Returns the name of the field in the log. */
    String fieldName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Checks that no component is null. */
  public IgnoredValue {
    Objects.requireNonNull(owner, "owner");
    Objects.requireNonNull(ownerName, "ownerName");
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(why, "why");
  }
}
