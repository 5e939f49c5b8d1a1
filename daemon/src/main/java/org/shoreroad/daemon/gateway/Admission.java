package org.shoreroad.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.config.AccountSpec;

/** Counts the open requests of each client account at this gateway. Thread-safe. */
final class Admission {
  private static final long RETRY_AFTER_MS = 1_000;

  private final Map<String, AtomicInteger> openByAccount = new ConcurrentHashMap<>();
  private final AtomicInteger open = new AtomicInteger();

  /** Returns how many requests are open. */
  int openCount() {
    return open.get();
  }

  /**
   * Counts a request in.
   *
   * @param account the client account
   * @return what counts it out; only its first call does
   * @throws ShoreroadException if the account has as many open as it may have
   */
  Runnable acquire(AccountSpec account) {
    AtomicInteger own = openByAccount.computeIfAbsent(account.name(), n -> new AtomicInteger());
    if (own.incrementAndGet() > account.maxOpen()) {
      own.decrementAndGet();
      throw ShoreroadException.notRun(
          ErrorCode.ACCOUNT_LIMIT,
          account.name() + " has " + account.maxOpen() + " requests open",
          RETRY_AFTER_MS);
    }
    open.incrementAndGet();
    AtomicBoolean isOut = new AtomicBoolean();
    return () -> {
      if (isOut.compareAndSet(false, true)) {
        own.decrementAndGet();
        open.decrementAndGet();
      }
    };
  }
}
