package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * <p>An entry that is taken away may come back: while the store was out of reach entries lapse, and
 * they are back within two seconds of its return if the upstream runs. An upstream that is off the
 * list gets no more requests; but a box of a replica stays known until it is dead for certain,
 * since it may run on without the store. Where another upstream is listed at the same address
 * later, the former one is over. Used on the event loop.
 *
 * @since 0.2
 */
public final class Fleet implements TopicFollower.Listener {
  /** Entries that lapsed in an outage are back within about two seconds. */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  private final EntryReader intake;
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
  public Fleet(Decoder decoder, LongSupplier clockNanos, EventLog log) {
    this.intake = new EntryReader(decoder, log);
    this.reports = new StatusReports(clockNanos);
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

  /** Sets what counts the entries and reports of former incarnations, by which of both it is. */
  public void setFormerIncarnationListener(Consumer<String> listener) {
    formerIncarnations.setListener(listener);
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
      remove(record);
      return;
    }
    intake
        .read(record.key(), value)
        .map(entry -> new ListedEntry(entry, record.position()))
        .filter(entry -> !formerIncarnations.dropsEntry(entry))
        .map(history::withKnownLeaving)
        .ifPresent(entry -> takeEntry(entry, record));
  }

  private void remove(StoreRecord record) {
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

  private void takeEntry(ListedEntry entry, StoreRecord record) {
    reports.noteEra(record.position().era());
    // Most records are heartbeats of upstreams in which nothing has changed.
    ListedEntry before = entries.put(entry.box().id(), entry);
    if (before == null || !entry.box().equals(before.box())) {
      recentChanges.add(record);
    }
    if (!history.holdBackIfRemoved(entry, clockNanos.getAsLong())) {
      admit(entry);
    }
  }

  /** Ends all that is known of an incarnation that another one has followed. */
  private void endFormer(FleetBox former, FleetBox next, StorePosition endedBy) {
    formerIncarnations.add(former, endedBy);
    log.write(
        "upstream_restarted",
        "upstream",
        next.id(),
        "bornMs",
        next.bornMs(),
        "formerBornMs",
        former.bornMs());
    forget(former.id());
  }

  /** Puts an entry in force, unless another upstream holds its address. */
  private void admit(ListedEntry entry) {
    FleetBox known = boxes.get(entry.box().id());
    if (known != null && entry.box().isOtherIncarnationOf(known)) {
      if (!addresses.isAfter(entry, known.id())) {
        // A copy of the store may hold the entry of an incarnation that was over before.
        return;
      }
      endFormer(known, entry.box(), entry.position());
    }
    if (takeAddress(entry)) {
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
    // Entries come in the order of their keys: the holder of an address may have come later.
    addresses.takeWaiting().stream()
        .filter(entry -> entry.equals(entries.get(entry.box().id())))
        .forEach(this::admit);
  }

  /**
   * Records that an upstream has announced in an answer that it is about to end: it gets no more
   * requests, whatever the state of its entry.
   */
  public void noteLeaving(Incarnation upstream) {
    history.noteAnnouncedLeaving(upstream);
    FleetBox box = boxes.get(upstream.id());
    if (box == null || box.isLeaving() || !box.incarnation().equals(upstream)) {
      return;
    }
    keep(box.withLeaving());
    noteListChange();
    log.write("upstream_leaving", "upstream", upstream.id(), "bornMs", upstream.bornMs());
  }

  /** Returns true unless another upstream, whose entry may be later, holds the address. */
  private boolean takeAddress(ListedEntry entry) {
    String other = addresses.otherAt(entry.box());
    if (!addresses.mayTake(entry)) {
      return false;
    }
    addresses.assign(entry);
    if (other != null) {
      log.write("upstream_superseded", "upstream", other, "by", entry.box().id());
      forget(other);
    }
    return true;
  }

  private void put(FleetBox listed) {
    FleetBox before = boxes.get(listed.id());
    FleetBox box = before == null ? listed : reports.withNewerState(before, listed);
    keep(box);
    lastModels.note(box);
    boolean wasRemoved = unlisted.remove(box.id());
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

  /** Takes over the entries that were held back, once the report that stood against them is old. */
  private void takeHeldBackEntries() {
    for (String id : reports.takeReleased()) {
      ListedEntry entry = entries.get(id);
      if (entry != null && boxes.containsKey(id) && !formerIncarnations.contains(entry.box())) {
        put(entry.box());
      }
    }
  }

  /** Lets entries count that a copy of the store brought back, once nothing contradicted them. */
  private void takeBroughtBackEntries() {
    for (String id : history.takeReleased(clockNanos.getAsLong())) {
      ListedEntry entry = entries.get(id);
      if (entry != null) {
        admit(entry);
      }
    }
  }

  /** Returns the model that the box held last in this incarnation, or null if it is not known. */
  public @Nullable String lastModel(String id) {
    return lastModels.find(id);
  }

  /**
   * Takes over what an engine has just said to this process of model, host and replica.
   *
   * @return true if that changed something
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
    return applyReport(before, report);
  }

  /**
   * Takes over what an engine has said to a peer. It does not tell of a later incarnation: a peer's
   * report may be late, and the entry of a later one follows within a heartbeat.
   *
   * @return true if that changed something
   */
  public boolean updateByPeer(FleetBox report) {
    FleetBox before = boxes.get(report.id());
    if (before == null || formerIncarnations.dropsPeersReport(before, report)) {
      return false;
    }
    return applyReport(before, report);
  }

  private boolean applyReport(FleetBox before, FleetBox report) {
    reports.note(report);
    FleetBox after =
        before.withEngineState(report.model(), report.stagedModels(), report.membership());
    if (after.equals(before)) {
      return false;
    }
    keep(after);
    lastModels.note(after);
    return true;
  }

  /** Goes by the report of a later incarnation, whose entry has not been read yet. */
  private void restart(FleetBox before, FleetBox report) {
    UnlistedUpstreams.Absence absence = unlisted.find(before.id());
    endFormer(before, report, StorePosition.NONE);
    FleetBox after =
        before
            .withStart(report.bornMs())
            .withEngineState(report.model(), report.stagedModels(), report.membership());
    addresses.assign(after);
    reports.note(report);
    keep(after);
    lastModels.note(after);
    // An answer does not put an upstream on the list: it may be about to end.
    unlisted.put(after.id(), absence);
    noteListChange();
  }

  /**
   * Brings the upstreams in line with the list: takes those off whose entries are gone for good,
   * and goes by entries again that an engine's report stood against.
   *
   * @param storeReachableNanos how long the store has answered without a fault
   */
  public void reconcile(long storeReachableNanos) {
    if (storeReachableNanos < RETURN_NANOS) {
      return;
    }
    takeHeldBackEntries();
    takeBroughtBackEntries();
    long nowNanos = clockNanos.getAsLong();
    for (String id : unlisted.ids()) {
      FleetBox box = boxes.get(id);
      // Forgetting one upstream may let another one take its place on the list.
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
    if (mayForget(box) || unlisted.isOutdated(box.id(), nowNanos)) {
      forget(box.id());
    }
  }

  /**
   * Returns true if nothing depends on an upstream off the list, or a later one is listed there.
   */
  private boolean mayForget(FleetBox box) {
    return box.domain() == null || addresses.hasWaiting(box.address());
  }

  /**
   * Adds an upstream that the list does not hold, so that it can be asked; it gets no requests.
   *
   * @return false if the address belongs to another upstream by now, so that this one is over
   */
  public boolean addUnlisted(FleetBox box) {
    if (addresses.find(box.address()) != null) {
      return boxes.containsKey(box.id());
    }
    addresses.assign(box);
    keep(box);
    unlisted.addFinal(box.id(), clockNanos.getAsLong());
    noteListChange();
    log.write("upstream_unlisted_known", "upstream", box.id(), "address", box.address());
    return true;
  }

  /** Forgets an upstream that is dead for certain. */
  public void forget(String id) {
    FleetBox gone = boxes.remove(id);
    unlisted.remove(id);
    reports.forget(id);
    lastModels.forget(id);
    if (gone != null) {
      domainIndex.remove(gone);
      noteListChange();
      log.write("upstream_gone", "upstream", id, "address", gone.address());
      removalListeners.forEach(listener -> listener.accept(gone));
      addresses
          .release(gone)
          .filter(entry -> entry.equals(entries.get(entry.box().id())))
          .ifPresent(this::admit);
    }
  }

  /** Returns the newest records that changed something. */
  public RecentChanges recentChanges() {
    return recentChanges;
  }

  /** Returns true if the upstream may be given requests, as far as the list goes. */
  public boolean isEligible(String id) {
    return boxes.containsKey(id) && !unlisted.isFinal(id);
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
    return boxes.containsKey(id) && !unlisted.contains(id);
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
