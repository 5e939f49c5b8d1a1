package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;

/**
 * View of the upstreams, merged from the list of the store and from newer reports that the
 * upstreams returned directly.
 *
 * <p>An entry that is taken away may come back: while the store was out of reach entries lapse, and
 * they are back within two seconds of its return if the upstream lives. An upstream that is off the
 * list gets no more requests; but a box of a replica stays known until it is dead for certain,
 * since it may run on without the store. Where another life is listed at the same address later,
 * the former one is over. Used on the event loop.
 *
 * @since 0.2
 */
public final class Fleet implements TopicFollower.Listener {
  /** Entries that lapsed in an outage are back within about two seconds (users' letter 2). */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  /** A box off the list that nobody could make sure of is forgotten after this time. */
  private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(2);

  /**
   * A report overrides entries read within this time after it, because an entry may have been
   * written, and its read sent, up to this much earlier.
   */
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final Map<String, Long> reportedAtNanos = new HashMap<>();
  private final Map<String, Long> reportedEpochs = new HashMap<>();

  /** Boxes whose newest entry was read while a newer report of the engine stood against it. */
  private final Set<String> heldBackIds = new HashSet<>();

  private final EntryIntake intake;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Map<String, FleetBox> boxes = new HashMap<>();
  private final Map<String, Long> removedAtNanos = new HashMap<>();
  private final Set<String> offListIds = new HashSet<>();
  private final Map<String, FleetBox> entries = new HashMap<>();
  private final Map<String, String> lastModels = new HashMap<>();
  private final Map<String, Long> entryOffsets = new HashMap<>();
  private final Map<String, String> idsByAddress = new HashMap<>();
  private final RecentChanges news = new RecentChanges();
  private final List<Consumer<FleetBox>> removalListeners = new ArrayList<>();
  private final Map<String, Map<String, FleetBox>> boxesByDomain = new HashMap<>();
  private long listChanges;
  private long targetChanges;

  /** Creates an empty fleet. */
  public Fleet(Decoder decoder, LongSupplier clockNanos, EventLog log) {
    this.intake = new EntryIntake(decoder, log);
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /** Adds a listener that hears of each upstream that is gone for good. */
  public void addRemovalListener(Consumer<FleetBox> listener) {
    removalListeners.add(listener);
  }

  /**
   * Sets which services are declared. An entry of another service is passed over.
   *
   * @param check true for a declared service, and for all while no configuration is known, not null
   */
  public void setServiceCheck(Predicate<String> check) {
    intake.setServiceCheck(check);
  }

  /** Sets what counts the entries that name no upstream to use, by what is wrong with them. */
  public void setFaultListener(Consumer<EntryFault> listener) {
    intake.setFaultListener(listener);
  }

  /** Forgets the upstreams of services that are not declared, once the declared ones are known. */
  public void dropUndeclared() {
    for (FleetBox box : List.copyOf(boxes.values())) {
      if (!intake.isDeclared(box)) {
        entries.remove(box.id());
        forget(box.id());
      }
    }
  }

  /** Returns the keys of all fabric domains that have boxes. */
  public Set<String> domains() {
    return Collections.unmodifiableSet(boxesByDomain.keySet());
  }

  /** Returns the boxes of a fabric domain, in no order; empty if none is known. */
  public List<FleetBox> boxesOf(String domainKey) {
    return List.copyOf(boxesByDomain.getOrDefault(domainKey, Map.of()).values());
  }

  /** Returns the key of a fabric domain of a service. */
  public static String domainKey(String service, String domain) {
    return service + "/" + domain;
  }

  @Override
  public void onRecord(StoreRecord record) {
    byte[] value = record.value();
    if (value == null) {
      entries.remove(record.key());
      news.add(record);
      if (boxes.containsKey(record.key())) {
        removedAtNanos.putIfAbsent(record.key(), clockNanos.getAsLong());
        noteListChange();
      }
      return;
    }
    intake.read(record.key(), value).ifPresent(entry -> takeEntry(entry, record));
  }

  private void takeEntry(FleetBox entry, StoreRecord record) {
    // Most records are heartbeats of upstreams in which nothing has changed.
    if (!entry.equals(entries.put(entry.id(), entry))) {
      news.add(record);
    }
    if (takeAddress(entry, record.offset())) {
      put(entry);
    }
  }

  @Override
  public void onListed(Set<String> keys, long endOffset) {
    news.restart(endOffset);
    entries.keySet().retainAll(keys);
    for (String id : new HashSet<>(boxes.keySet())) {
      if (!keys.contains(id)) {
        removedAtNanos.putIfAbsent(id, clockNanos.getAsLong());
        noteListChange();
      }
    }
  }

  /** Returns true unless a later life is listed at the same address; an earlier one is over. */
  private boolean takeAddress(FleetBox entry, long offset) {
    String other = idsByAddress.get(entry.address());
    if (other != null && !other.equals(entry.id())) {
      if (entryOffsets.getOrDefault(other, -1L) > offset) {
        return false;
      }
      log.write("upstream_superseded", "upstream", other, "by", entry.id());
      forget(other);
    }
    idsByAddress.put(entry.address(), entry.id());
    entryOffsets.put(entry.id(), offset);
    return true;
  }

  private void put(FleetBox listed) {
    FleetBox before = boxes.get(listed.id());
    FleetBox box = before == null ? listed : withNewerState(before, listed);
    keep(box);
    noteModel(box);
    boolean wasRemoved = removedAtNanos.remove(box.id()) != null;
    offListIds.remove(box.id());
    boolean isOtherwiseListed = before == null || before.isLeaving() != box.isLeaving();
    if (wasRemoved || isOtherwiseListed) {
      noteListChange();
      if (isOtherwiseListed) {
        log.write(
            "upstream_listed",
            "upstream",
            box.id(),
            "address",
            box.address(),
            "domain",
            box.domain(),
            "leaving",
            box.isLeaving());
      }
    }
  }

  /** Stores the latest state of an upstream and updates the index and the counters. */
  private void keep(FleetBox box) {
    FleetBox before = boxes.put(box.id(), box);
    if (box.equals(before)) {
      return;
    }
    if (before != null && !Objects.equals(before.domain(), box.domain())) {
      dropFromDomain(before);
    }
    if (box.domain() != null) {
      String key = domainKey(box.service(), box.domain());
      boxesByDomain.computeIfAbsent(key, name -> new HashMap<>()).put(box.id(), box);
    }
    boolean isTarget = box.domain() == null || box.isOpenHead();
    if (before == null || isTarget || before.isOpenHead()) {
      targetChanges++;
    }
  }

  private void dropFromDomain(FleetBox box) {
    if (box.domain() != null) {
      boxesByDomain.computeIfPresent(
          domainKey(box.service(), box.domain()),
          (key, boxesThere) -> {
            boxesThere.remove(box.id());
            return boxesThere.isEmpty() ? null : boxesThere;
          });
    }
  }

  private void noteListChange() {
    listChanges++;
    targetChanges++;
  }

  /** Returns the entry with the state of a recent report, if the entry may be older than that. */
  private FleetBox withNewerState(FleetBox before, FleetBox listed) {
    heldBackIds.remove(listed.id());
    long knownEpoch = reportedEpochs.getOrDefault(listed.id(), 0L);
    if (!hasRecentReport(listed.id()) || epochOf(listed) > knownEpoch) {
      return listed;
    }
    heldBackIds.add(listed.id());
    return listed.withEngineState(before.model(), before.stagedModels(), before.membership());
  }

  private boolean hasRecentReport(String id) {
    Long reportNanos = reportedAtNanos.get(id);
    return reportNanos != null && clockNanos.getAsLong() - reportNanos < REPORT_NANOS;
  }

  /**
   * Takes over the entries that were held back, once the report that stood against them is old. An
   * upstream writes no further entry while nothing changes, so that a report that is wrong by now
   * would stand for good: a box that had left its replica stood as its member for 17 s.
   */
  private void takeHeldBackEntries() {
    for (String id : Set.copyOf(heldBackIds)) {
      if (!hasRecentReport(id)) {
        heldBackIds.remove(id);
        FleetBox entry = entries.get(id);
        if (entry != null && boxes.containsKey(id)) {
          put(entry);
        }
      }
    }
  }

  /**
   * An engine names its model only while it is a member; what it held last, it takes up at once.
   */
  private void noteModel(FleetBox box) {
    Membership membership = box.membership();
    if (box.model() != null) {
      lastModels.put(box.id(), box.model());
    } else if (membership != null && membership.state() == MemberState.JOINING) {
      // Another model may be on its way; it is not held before it is named.
      lastModels.remove(box.id());
    }
  }

  /** Returns the model that the box held last in this life, or null if it is not known. */
  public @Nullable String lastModel(String id) {
    return lastModels.get(id);
  }

  private static long epochOf(FleetBox box) {
    return box.membership() == null ? 0 : box.membership().replica().epoch();
  }

  /**
   * Takes over what an engine has just said, to this process or to a peer, of model, host and
   * replica.
   *
   * @return true if that was news
   */
  public boolean update(FleetBox report) {
    FleetBox before = boxes.get(report.id());
    if (before == null) {
      return false;
    }
    reportedAtNanos.put(report.id(), clockNanos.getAsLong());
    reportedEpochs.merge(report.id(), epochOf(report), Math::max);
    FleetBox after =
        before.withEngineState(report.model(), report.stagedModels(), report.membership());
    if (after.equals(before)) {
      return false;
    }
    keep(after);
    noteModel(after);
    return true;
  }

  /** Writes a line on what an engine said. */
  public void logReport(FleetBox report) {
    log.write(
        "box_word",
        "box",
        report.id(),
        "model",
        report.model(),
        "staged",
        report.stagedModels(),
        "membership",
        String.valueOf(report.membership()));
  }

  /**
   * Brings the upstreams in line with the list: takes those off whose entries are gone for good,
   * and goes by entries again that an engine's report stood against.
   *
   * @param storeReachableNanos how long the store has answered without a fault
   */
  public void settle(long storeReachableNanos) {
    if (storeReachableNanos < RETURN_NANOS) {
      return;
    }
    takeHeldBackEntries();
    long nowNanos = clockNanos.getAsLong();
    for (Map.Entry<String, Long> removed : new HashMap<>(removedAtNanos).entrySet()) {
      FleetBox box = boxes.get(removed.getKey());
      if (box != null && offListIds.add(box.id())) {
        noteListChange();
        log.write("upstream_off_list", "upstream", box.id(), "address", box.address());
      }
      if (box != null && (box.domain() == null || nowNanos - removed.getValue() > FORGET_NANOS)) {
        forget(box.id());
      }
    }
  }

  /**
   * Adds an upstream that the list does not hold, so that it can be asked; it gets no requests.
   *
   * @return false if the address belongs to another life by now, so that this one is over
   */
  public boolean addUnlisted(FleetBox box) {
    if (idsByAddress.containsKey(box.address())) {
      return boxes.containsKey(box.id());
    }
    idsByAddress.put(box.address(), box.id());
    keep(box);
    removedAtNanos.put(box.id(), clockNanos.getAsLong());
    offListIds.add(box.id());
    noteListChange();
    log.write("upstream_unlisted_known", "upstream", box.id(), "address", box.address());
    return true;
  }

  /** Forgets an upstream that is dead for certain. */
  public void forget(String id) {
    FleetBox gone = boxes.remove(id);
    removedAtNanos.remove(id);
    offListIds.remove(id);
    reportedAtNanos.remove(id);
    reportedEpochs.remove(id);
    heldBackIds.remove(id);
    entryOffsets.remove(id);
    lastModels.remove(id);
    if (gone != null) {
      idsByAddress.remove(gone.address(), id);
      dropFromDomain(gone);
      noteListChange();
      log.write("upstream_gone", "upstream", id, "address", gone.address());
      removalListeners.forEach(listener -> listener.accept(gone));
    }
  }

  /** Returns the newest records that changed something. */
  public RecentChanges news() {
    return news;
  }

  /** Returns true if the upstream may be given requests, as far as the list goes. */
  public boolean isOnList(String id) {
    return boxes.containsKey(id) && !offListIds.contains(id);
  }

  /** Returns a counter of the upstreams that were added, removed, or started to leave. */
  public long listChanges() {
    return listChanges;
  }

  /**
   * Returns a counter of the changes that affect routing: list changes, plain upstreams and open
   * heads. With 925 boxes other changes are frequent, and routing tables need no rebuild for them.
   */
  public long targetChanges() {
    return targetChanges;
  }

  /** Returns all upstreams that are known. */
  public Collection<FleetBox> boxes() {
    return boxes.values();
  }

  /** Returns the upstream, or null if it is not known. */
  public @Nullable FleetBox find(String id) {
    return boxes.get(id);
  }

  /** Returns true if the list still holds the upstream. */
  public boolean isListed(String id) {
    return boxes.containsKey(id) && !removedAtNanos.containsKey(id);
  }

  /** Reads an entry of the list. */
  public interface Decoder {
    /**
     * Returns the upstream.
     *
     * @throws UnusableEntryException if the entry names no upstream to use
     */
    FleetBox decode(String id, byte[] entry);
  }
}
