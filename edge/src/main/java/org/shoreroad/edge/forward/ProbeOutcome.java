package org.shoreroad.edge.forward;

/** Result of a connection that another process has tried to open to an upstream. */
public enum ProbeOutcome {
  /** The connection was established. */
  CONNECTED,
  /** The connection was refused: no process listens at the address. */
  REFUSED,
  /** The connection was not established for another reason. */
  UNREACHED,
  /** The other process could not try. */
  UNABLE;

  /** Returns the outcome with this name, {@link #UNABLE} if there is none. */
  static ProbeOutcome parse(String name) {
    for (ProbeOutcome outcome : values()) {
      if (outcome.name().equals(name)) {
        return outcome;
      }
    }
    return UNABLE;
  }
}
