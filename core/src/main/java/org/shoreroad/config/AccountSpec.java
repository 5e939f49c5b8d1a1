package org.shoreroad.config;

/**
 * A client account.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the account's name
 * @param keySha256 the SHA-256 of the account's key, in lower-case hexadecimal
 * @param weight the account's share relative to other accounts, 1 or more
 * @param maxOpen the maximum number of open requests at one gateway, 1 or more
 * @since 0.1
 */
public record AccountSpec(String name, String keySha256, int weight, int maxOpen)
    implements ConfigEntry {
  @Override
  public String key() {
    return "account/" + name;
  }
}
