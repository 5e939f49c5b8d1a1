package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.List;
import org.shoreroad.edge.EventLog;

/**
 * The era of the platform's store, observed in all of its answers.
 *
 * <p>The store may be restored from a copy that is some seconds old. It then lacks its last
 * records, assigns their offsets again to other records, and increments its era. Only this class
 * detects that; classes whose state depends on the store add a listener. Not thread-safe: used on
 * the event loop.
 *
 * @since 0.2
 */
public final class StoreEra {
  /** The era of a store that sends none in its answers. */
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
   * @param listener called on the event loop before the answer with the new era is passed on, not
   *     null
   */
  public void addListener(Runnable listener) {
    listeners.add(listener);
  }

  /** Returns the newest era of all answers, {@link #NONE} before the first answer. */
  public long current() {
    return current;
  }

  /** Returns the number of answers of an earlier era that arrived after one of a later era. */
  public long formerAnswers() {
    return formerAnswers;
  }

  /**
   * Records the era of an answer and notifies the listeners of a new era.
   *
   * @param era the era in the answer, or {@link #NONE}
   * @param call the kind of the call that was answered, for the log, not null
   * @return false if the answer is of an earlier era than a previous one: it was in transit while
   *     the store was restored, and its content may no longer exist
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
