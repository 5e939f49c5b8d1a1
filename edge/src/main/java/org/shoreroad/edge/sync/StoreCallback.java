package org.shoreroad.edge.sync;

/**
 * Hears the outcome of one call to the store, on the event loop.
 *
 * @param <T> what the call brings
 * @since 0.2
 */
public interface StoreCallback<T> {
  /** Tells what the call brought. */
  void onValue(T value);

  /** Tells that it brought nothing. */
  void onFault(StoreFault fault);
}
