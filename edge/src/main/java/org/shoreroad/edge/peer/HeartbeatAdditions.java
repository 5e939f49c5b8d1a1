package org.shoreroad.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.fleet.ModelTraffic;
import org.shoreroad.quarantine.PartReport;

/**
 * Last part of a heartbeat: room at replica heads, traffic of models, cold upstreams and evacuated
 * availability zones. Processes of earlier releases ignore it and send none.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param grantedOpen the number of open requests that were granted room by the process that
 *     currently owns the head's domain, by the id of the head. They are part of {@link
 *     Heartbeat#loads()}
 * @param roomOwners the processes that grant room, by the key of the fabric domain
 * @param traffic the requests of the last complete second, by model and availability zone
 * @param coldReports the upstreams that are cold
 * @param evacuations the newest evacuation request or withdrawal of each availability zone
 * @param partReports the crashes under prompt parts that the receiver may not have received yet
 * @since 0.2
 */
public record HeartbeatAdditions(
    Map<String, Integer> grantedOpen,
    Map<String, RoomOwner> roomOwners,
    List<ModelTraffic> traffic,
    List<ColdReport> coldReports,
    List<Evacuation> evacuations,
    List<PartReport> partReports) {
  /** Additions without content. */
  public static final HeartbeatAdditions NONE =
      new HeartbeatAdditions(Map.of(), Map.of(), List.of(), List.of(), List.of(), List.of());

  /** Copies the collections. */
  public HeartbeatAdditions {
    grantedOpen = Map.copyOf(grantedOpen);
    roomOwners = Map.copyOf(roomOwners);
    traffic = List.copyOf(traffic);
    coldReports = List.copyOf(coldReports);
    evacuations = List.copyOf(evacuations);
    partReports = List.copyOf(partReports);
  }

  /** Returns these additions with other granted requests and owners. */
  public HeartbeatAdditions withRoom(
      Map<String, Integer> newGrantedOpen, Map<String, RoomOwner> newRoomOwners) {
    return new HeartbeatAdditions(
        newGrantedOpen, newRoomOwners, traffic, coldReports, evacuations, partReports);
  }

  /** Returns these additions with other traffic. */
  public HeartbeatAdditions withTraffic(List<ModelTraffic> newTraffic) {
    return new HeartbeatAdditions(
        grantedOpen, roomOwners, newTraffic, coldReports, evacuations, partReports);
  }

  /** Returns these additions with other cold upstreams. */
  public HeartbeatAdditions withColdReports(List<ColdReport> newColdReports) {
    return new HeartbeatAdditions(
        grantedOpen, roomOwners, traffic, newColdReports, evacuations, partReports);
  }

  /** Returns these additions with other evacuations. */
  public HeartbeatAdditions withEvacuations(List<Evacuation> newEvacuations) {
    return new HeartbeatAdditions(
        grantedOpen, roomOwners, traffic, coldReports, newEvacuations, partReports);
  }

  /** Returns these additions with other reports on prompt parts. */
  public HeartbeatAdditions withPartReports(List<PartReport> newPartReports) {
    return new HeartbeatAdditions(
        grantedOpen, roomOwners, traffic, coldReports, evacuations, newPartReports);
  }

  /**
   * Process that grants room at the heads of a domain.
   *
   * @param process the name of its incarnation, not null
   * @param address its address for messages between processes, as host and port, not null
   */
  public record RoomOwner(String process, String address) {
    /** Checks that no component is null. */
    public RoomOwner {
      Objects.requireNonNull(process, "process");
      Objects.requireNonNull(address, "address");
    }

    // Explicit, since the generated methods are method handles, whose first use in a process costs
    // 20 to 40 ms of processor time.

    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof RoomOwner owner
          && process.equals(owner.process)
          && address.equals(owner.address);
    }

    @Override
    public int hashCode() {
      return process.hashCode();
    }
  }

  /**
   * Cold upstream.
   *
   * @param upstream the upstream, not null
   * @param remainingMs the time for which it stays cold, in milliseconds, 0 or more
   */
  public record ColdReport(Incarnation upstream, int remainingMs) {
    /** Checks that the upstream isn't null and the time isn't negative. */
    public ColdReport {
      Objects.requireNonNull(upstream, "upstream");
      if (remainingMs < 0) {
        throw new IllegalArgumentException("remaining time is negative: " + remainingMs);
      }
    }
  }

  /**
   * Evacuation request of an availability zone, or its withdrawal.
   *
   * @param zone the availability zone, not null
   * @param isRequested true for a request, false for a withdrawal
   * @param position the position of the record in the store, not null
   */
  public record Evacuation(String zone, boolean isRequested, StorePosition position) {
    /** Checks that no component is null. */
    public Evacuation {
      Objects.requireNonNull(zone, "zone");
      Objects.requireNonNull(position, "position");
    }
  }
}
