package org.shoreroad.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.config.AccountSpec;

/** Limits the open requests of each client account at this gateway. Thread-safe. */
final class Admission {
  private static final long RETRY_AFTER_MS = 1_000;

  private final Map<String, AtomicInteger> openByAccount = new ConcurrentHashMap<>();
  private final AtomicInteger open = new AtomicInteger();

  /** Returns the number of open requests of all accounts. */
  int openCount() {
    return open.get();
  }

  /**
   * Counts a new open request.
   *
   * @param account the client account
   * @return releases the request; only its first call has an effect
   * @throws ShoreroadException if the account has reached its limit of open requests
   */
  Runnable acquire(AccountSpec account) {
    AtomicInteger accountOpen =
        openByAccount.computeIfAbsent(account.name(), n -> new AtomicInteger());
    if (accountOpen.incrementAndGet() > account.maxOpen()) {
      accountOpen.decrementAndGet();
      throw ShoreroadException.notRun(
          ErrorCode.ACCOUNT_LIMIT,
          account.name() + " has " + account.maxOpen() + " open requests, which is its limit",
          RETRY_AFTER_MS);
    }
    open.incrementAndGet();
    AtomicBoolean isReleased = new AtomicBoolean();
    return () -> {
      if (isReleased.compareAndSet(false, true)) {
        accountOpen.decrementAndGet();
        open.decrementAndGet();
      }
    };
  }
}
