package org.shoreroad.edge.sync;

/**
 * Callback for the result of one call to the store. It runs on the event loop.
 *
 * @param <T> the type of the result
 * @since 0.2
 */
public interface StoreCallback<T> {
  /** Called with the result of a successful call. */
  void onValue(T value);

  /** Called with the fault of a failed call. */
  void onFault(StoreFault fault);
}
