package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
import org.shoreroad.fleet.Incarnation;

/**
 * View of the upstreams, merged from the list of the store and from newer reports that the
 * upstreams returned directly.
 *
 * <p>A removed entry may come back: entries lapse while the store is unreachable, and a running
 * upstream writes its entry again within two seconds of the store's return. An upstream that is off
 * the list receives no more requests. A box of a replica is kept until it has ended for certain,
 * since it may run on without the store. If another upstream is listed later at the same address,
 * the former one has ended. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class Fleet implements TopicFollower.Listener {
  /** Entries that lapsed in a store outage are written again within about two seconds. */
  private static final long ENTRY_RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  private final EntryReader entryReader;
  private final StatusReports reports;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Map<String, FleetBox> boxes = new HashMap<>();
  private final UnlistedUpstreams unlisted = new UnlistedUpstreams();
  private final Map<String, ListedEntry> entries = new HashMap<>();
  private final EntryHistory history = new EntryHistory();
  private final FormerIncarnations formerIncarnations = new FormerIncarnations();
  private final AddressTable addresses = new AddressTable();
  private final LastModels lastModels = new LastModels();
  private final RecentChanges recentChanges = new RecentChanges();
  private final List<Consumer<FleetBox>> removalListeners = new ArrayList<>();
  private final DomainIndex domainIndex = new DomainIndex();
  private long listChanges;
  private long targetChanges;

  /** Creates an empty fleet. */
  public Fleet(EntryDecoder decoder, LongSupplier clockNanos, EventLog log) {
    this.entryReader = new EntryReader(decoder, log);
    this.reports = new StatusReports(clockNanos);
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /** Adds a listener that is called with each upstream that was removed for good. */
  public void addRemovalListener(Consumer<FleetBox> listener) {
    removalListeners.add(listener);
  }

  /**
   * Sets which services are declared. An entry of another service is ignored.
   *
   * @param check returns true for a declared service, and for every service while no configuration
   *     is known, not null
   */
  public void setServiceCheck(Predicate<String> check) {
    entryReader.setServiceCheck(check);
  }

  /** Sets the listener that is called with the fault of each unusable entry. */
  public void setFaultListener(Consumer<EntryFault> listener) {
    entryReader.setFaultListener(listener);
  }

  /** Sets the listener for drops of former incarnations: {@code "entry"} or {@code "report"}. */
  public void setFormerIncarnationListener(Consumer<String> listener) {
    formerIncarnations.setListener(listener);
  }

  /** Removes the upstreams of undeclared services. Called once the declared ones are known. */
  public void dropUndeclared() {
    for (FleetBox box : List.copyOf(boxes.values())) {
      if (!entryReader.isDeclared(box)) {
        entries.remove(box.id());
        remove(box.id());
      }
    }
  }

  /** Returns the keys of all fabric domains that have boxes. */
  public Set<String> domains() {
    return domainIndex.keys();
  }

  /** Returns the boxes of a fabric domain, in no order; empty if none is known. */
  public List<FleetBox> boxesOf(String domainKey) {
    return domainIndex.boxesOf(domainKey);
  }

  /** Returns the key of a fabric domain of a service. */
  public static String domainKey(String service, String domain) {
    return DomainIndex.keyOf(service, domain);
  }

  @Override
  public void onRecord(StoreRecord record) {
    byte[] value = record.value();
    if (value == null) {
      removeEntry(record);
      return;
    }
    entryReader
        .read(record.key(), value)
        .map(entry -> new ListedEntry(entry, record.position()))
        .filter(entry -> !formerIncarnations.dropsEntry(entry))
        .map(history::withKnownLeaving)
        .ifPresent(entry -> receiveEntry(entry, record));
  }

  private void removeEntry(StoreRecord record) {
    ListedEntry removed = entries.remove(record.key());
    recentChanges.add(record);
    if (removed != null) {
      history.noteRemoved(removed.box(), record.position());
    }
    if (boxes.containsKey(record.key())) {
      unlisted.add(record.key(), clockNanos.getAsLong());
      noteListChange();
    }
  }

  private void receiveEntry(ListedEntry entry, StoreRecord record) {
    reports.noteEra(record.position().era());
    // Most records are heartbeats of upstreams in which nothing has changed.
    ListedEntry before = entries.put(entry.box().id(), entry);
    if (before == null || !entry.box().equals(before.box())) {
      recentChanges.add(record);
    }
    if (!history.holdBackIfRemoved(entry, clockNanos.getAsLong())) {
      apply(entry);
    }
  }

  /** Removes an incarnation that was replaced by the next one, with all state kept for it. */
  private void endIncarnation(FleetBox former, FleetBox next, StorePosition endedBy) {
    formerIncarnations.add(former, endedBy);
    log.write(
        "upstream_restarted",
        "upstream",
        next.id(),
        "bornMs",
        next.bornMs(),
        "formerBornMs",
        former.bornMs());
    remove(former.id());
  }

  /** Applies an entry, unless another upstream holds its address. */
  private void apply(ListedEntry entry) {
    FleetBox known = boxes.get(entry.box().id());
    if (known != null && entry.box().isOtherIncarnationOf(known)) {
      if (!addresses.isAfter(entry, known.id())) {
        // A copy of the store may hold the entry of an incarnation that has already ended.
        return;
      }
      endIncarnation(known, entry.box(), entry.position());
    }
    if (assignAddress(entry)) {
      history.noteEntry(entry);
      put(entry.box());
    }
  }

  @Override
  public void onListed(Set<String> keys, StorePosition end) {
    recentChanges.restart(end);
    entries.keySet().retainAll(keys);
    history.noteListed(end);
    for (FleetBox box : List.copyOf(boxes.values())) {
      if (!keys.contains(box.id())) {
        addresses.noteUnlisted(box.id(), end);
        history.noteRemoved(box, end.previous());
        unlisted.add(box.id(), clockNanos.getAsLong());
        noteListChange();
      }
    }
    // A listing is in the order of the keys, so the holder of an address may follow its successor.
    addresses.takeWaiting().stream()
        .filter(entry -> entry.equals(entries.get(entry.box().id())))
        .forEach(this::apply);
  }

  /**
   * Records that an upstream has announced in a response that it is about to end. It receives no
   * more requests, whatever its entry states.
   */
  public void noteLeaving(Incarnation upstream) {
    history.noteAnnouncedLeaving(upstream);
    FleetBox box = boxes.get(upstream.id());
    if (box == null || box.isLeaving() || !box.incarnation().equals(upstream)) {
      return;
    }
    replaceBox(box.withLeaving());
    noteListChange();
    log.write("upstream_leaving", "upstream", upstream.id(), "bornMs", upstream.bornMs());
  }

  /** Assigns the address unless another upstream with a possibly later entry holds it. */
  private boolean assignAddress(ListedEntry entry) {
    String other = addresses.otherAt(entry.box());
    if (!addresses.mayTake(entry)) {
      return false;
    }
    addresses.assign(entry);
    if (other != null) {
      log.write("upstream_superseded", "upstream", other, "by", entry.box().id());
      remove(other);
    }
    return true;
  }

  private void put(FleetBox listed) {
    FleetBox before = boxes.get(listed.id());
    FleetBox box = reports.withNewerState(before, listed);
    replaceBox(box);
    lastModels.note(box);
    boolean wasUnlisted = unlisted.remove(box.id());
    boolean isNewOrLeavingChanged = before == null || before.isLeaving() != box.isLeaving();
    if (wasUnlisted || isNewOrLeavingChanged) {
      noteListChange();
      if (isNewOrLeavingChanged) {
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
  private void replaceBox(FleetBox box) {
    FleetBox before = boxes.put(box.id(), box);
    if (box.equals(before)) {
      return;
    }
    domainIndex.replace(before, box);
    boolean isTarget = box.domain() == null || box.isOpenHead();
    if (before == null || isTarget || before.isOpenHead()) {
      targetChanges++;
    }
  }

  private void noteListChange() {
    listChanges++;
    targetChanges++;
  }

  /**
   * Applies the entries whose overriding report has become old, and those that a copy of the store
   * brought back and that nothing contradicted.
   */
  private void applyReleasedEntries() {
    reports.takeReleased().stream()
        .map(entries::get)
        .filter(entry -> entry != null && boxes.containsKey(entry.box().id()))
        .filter(entry -> !formerIncarnations.contains(entry.box()))
        .forEach(entry -> put(entry.box()));
    history.takeReleased(clockNanos.getAsLong()).stream()
        .map(entries::get)
        .filter(Objects::nonNull)
        .forEach(this::apply);
  }

  /** Returns the model that the box last held in this incarnation, or null if it is not known. */
  public @Nullable String lastModel(String id) {
    return lastModels.find(id);
  }

  /**
   * Applies the model, staged models and replica that an engine has just reported to this process.
   *
   * @return true if the known state changed
   */
  public boolean update(FleetBox report) {
    FleetBox before = boxes.get(report.id());
    if (before == null || formerIncarnations.dropsReport(report)) {
      return false;
    }
    if (report.isOtherIncarnationOf(before)) {
      restart(before, report);
      return true;
    }
    return applyReport(before, report, StateOrigin.Source.REPORT);
  }

  /** Applies the state that follows from an accepted order; returns true if it was not known. */
  public boolean updateByOrder(FleetBox box) {
    FleetBox before = boxes.get(box.id());
    return before != null && applyReport(before, box, StateOrigin.Source.ORDER);
  }

  /** Returns true if a report shows a later formation than all known states of its box. */
  public boolean showsLaterFormation(FleetBox report) {
    return reports.isOfLaterFormation(report);
  }

  /** Returns where the known engine state of a box came from, or null if it is not known. */
  public @Nullable StateOrigin stateOrigin(String id) {
    return reports.origin(id);
  }

  /**
   * Applies what an engine has reported to a peer. Such a report never starts a later incarnation:
   * it may be late, and the entry of a later incarnation follows within a heartbeat.
   *
   * @return true if the known state changed
   */
  public boolean updateByPeer(FleetBox report) {
    FleetBox before = boxes.get(report.id());
    if (before == null || formerIncarnations.dropsPeersReport(before, report)) {
      return false;
    }
    return applyReport(before, report, StateOrigin.Source.PEER);
  }

  private boolean applyReport(FleetBox before, FleetBox report, StateOrigin.Source source) {
    if (reports.isOfEarlierFormation(report)) {
      return false;
    }
    FleetBox after =
        before.withEngineState(report.model(), report.stagedModels(), report.membership());
    reports.note(report, source, !after.equals(before));
    if (after.equals(before)) {
      return false;
    }
    replaceBox(after);
    lastModels.note(after);
    return true;
  }

  /** Replaces an incarnation by the reported later one, whose entry has not been read yet. */
  private void restart(FleetBox before, FleetBox report) {
    UnlistedUpstreams.Absence absence = unlisted.find(before.id());
    endIncarnation(before, report, StorePosition.NONE);
    FleetBox after =
        before
            .withStart(report.bornMs())
            .withEngineState(report.model(), report.stagedModels(), report.membership());
    addresses.assign(after);
    reports.note(report, StateOrigin.Source.REPORT, true);
    replaceBox(after);
    lastModels.note(after);
    // A report does not put an upstream on the list, because the upstream may be about to end.
    unlisted.put(after.id(), absence);
    noteListChange();
  }

  /**
   * Reconciles the upstreams with the list: marks those as off the list whose entries have not come
   * back, and applies entries that were overridden or held back.
   *
   * @param storeReachableNanos how long the store has answered without a fault, in nanoseconds
   */
  public void reconcile(long storeReachableNanos) {
    if (storeReachableNanos < ENTRY_RETURN_NANOS) {
      return;
    }
    applyReleasedEntries();
    long nowNanos = clockNanos.getAsLong();
    for (String id : unlisted.ids()) {
      FleetBox box = boxes.get(id);
      // Removing one upstream may release its address to another one and put that on the list.
      if (box != null && unlisted.contains(id)) {
        reconcile(box, nowNanos);
      }
    }
  }

  private void reconcile(FleetBox box, long nowNanos) {
    if (unlisted.makeFinal(box.id())) {
      noteListChange();
      log.write("upstream_off_list", "upstream", box.id(), "address", box.address());
    }
    boolean isNoLongerNeeded = box.domain() == null || addresses.hasWaiting(box.address());
    if (isNoLongerNeeded || unlisted.isOutdated(box.id(), nowNanos)) {
      remove(box.id());
    }
  }

  /**
   * Adds an upstream that is not on the list, so that its status can be queried. It receives no
   * requests.
   *
   * @return false if the address belongs to another upstream by now, so that this one has ended
   */
  public boolean addUnlisted(FleetBox box) {
    if (addresses.find(box.address()) != null) {
      return boxes.containsKey(box.id());
    }
    addresses.assign(box);
    replaceBox(box);
    unlisted.addFinal(box.id(), clockNanos.getAsLong());
    noteListChange();
    log.write("upstream_unlisted_known", "upstream", box.id(), "address", box.address());
    return true;
  }

  /** Removes an upstream that has ended for certain, and notifies the removal listeners. */
  public void remove(String id) {
    FleetBox removed = boxes.remove(id);
    unlisted.remove(id);
    reports.remove(id);
    lastModels.remove(id);
    if (removed != null) {
      domainIndex.remove(removed);
      noteListChange();
      log.write("upstream_gone", "upstream", id, "address", removed.address());
      removalListeners.forEach(listener -> listener.accept(removed));
      addresses
          .release(removed)
          .filter(entry -> entry.equals(entries.get(entry.box().id())))
          .ifPresent(this::apply);
    }
  }

  /** Returns the newest records that changed an entry. */
  public RecentChanges recentChanges() {
    return recentChanges;
  }

  /**
   * Returns true if the list permits requests to the upstream: it has an entry, or lost it so
   * recently that the entry may come back.
   */
  public boolean isEligible(String id) {
    return boxes.containsKey(id) && !unlisted.isFinal(id);
  }

  /** Returns the number of times an upstream was added, removed or started to leave. */
  public long listChanges() {
    return listChanges;
  }

  /**
   * Returns the number of changes that affect routing: list changes, plain upstreams and open
   * heads. With 925 boxes other changes are frequent, and routing tables need no rebuild for them.
   */
  public long targetChanges() {
    return targetChanges;
  }

  /** Returns all known upstreams, listed or not. */
  public Collection<FleetBox> boxes() {
    return boxes.values();
  }

  /** Returns the upstream, or null if it is not known. */
  public @Nullable FleetBox find(String id) {
    return boxes.get(id);
  }

  /** Returns true if the upstream has an entry in the list at present. */
  public boolean isListed(String id) {
    return boxes.containsKey(id) && !unlisted.contains(id);
  }
}
