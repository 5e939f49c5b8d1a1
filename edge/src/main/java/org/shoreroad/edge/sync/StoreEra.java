package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.List;
import org.shoreroad.edge.EventLog;

/**
 * The era of the platform's store, observed in all of its answers.
 *
 * <p>The store may come back from a copy that is some seconds old. It then lacks its last records,
 * assigns their offsets again to other ones, and raises its era by one. This is the one place that
 * notices it; whoever keeps something by the store listens here. Used on the event loop.
 *
 * @since 0.2
 */
public final class StoreEra {
  /** Stands for the era of a store that tells none. */
  public static final long NONE = 0;

  private final EventLog log;
  private final List<Runnable> listeners = new ArrayList<>();
  private long current = NONE;
  private boolean isObserved;
  private long formerAnswers;

  /** Creates an instance that has observed no era. */
  public StoreEra(EventLog log) {
    this.log = log;
  }

  /**
   * Adds a listener for eras after the first one that was observed.
   *
   * @param listener called on the event loop before the answer that told the era is passed on, not
   *     null
   */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the newest era that an answer has told, {@link #NONE} before the first answer. */
  public long current() {
    return current;
  }

  /** Returns how many answers of an earlier era came after one of a later era. */
  public long formerAnswers() {
    return formerAnswers;
  }

  /**
   * Takes note of the era of an answer.
   *
   * @param era the era that the answer tells, or {@link #NONE}
   * @param call the kind of the call that was answered, for the log, not null
   * @return false if the answer is of an earlier era than one before: it was on its way while the
   *     store went back, and what it tells may be gone
   */
  public boolean observe(long era, String call) {
    if (era < current) {
      formerAnswers++;
      log.write("store_answer_of_former_era", "era", era, "current", current, "call", call);
      return false;
    }
    if (!isObserved) {
      isObserved = true;
      current = era;
    } else if (era > current) {
      log.write("store_era", "old", current, "new", era, "call", call);
      current = era;
      listeners.forEach(Runnable::run);
    }
    return true;
  }
}
