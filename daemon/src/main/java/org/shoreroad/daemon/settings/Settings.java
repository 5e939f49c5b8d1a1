package org.shoreroad.daemon.settings;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.model.OptionMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shoreroad.member.MembershipTiming;
import org.shoreroad.replica.ReplicaTiming;

/**
 * The checked settings of a process.
 *
 * <p>Immutable and thread-safe.
 *
 * @since 0.1
 */
public final class Settings {
  /** The prefix of the names of all environment variables. */
  public static final String VARIABLE_PREFIX = "SHOREROAD_";

  /** The exit code of a process with invalid settings. */
  public static final int EXIT_CODE = 2;

  private static final String CTL_PREFIX = VARIABLE_PREFIX + "CTL_";
  private static final SingleCommand<DaemonOptions> COMMAND =
      SingleCommand.singleCommand(DaemonOptions.class);
  private static final Set<String> FLAGS_WITHOUT_VARIABLE = Set.of("-h", "--help", "--version");

  private final DaemonOptions options;

  private Settings(DaemonOptions options) {
    this.options = options;
  }

  /**
   * Parses flags and environment variables.
   *
   * @param args the flags, not null
   * @param environment the environment variables, not null
   * @return the settings, checked unless help or version is requested
   * @throws SettingsException if a setting is unknown, missing, not a number, out of range, or
   *     conflicts with another
   */
  public static Settings parse(String[] args, Map<String, String> environment) {
    List<String> all = new ArrayList<>(Arrays.asList(args));
    all.addAll(fromEnvironment(Arrays.asList(args), environment));
    Settings settings;
    try {
      settings = new Settings(COMMAND.parse(all.toArray(String[]::new)));
    } catch (ParseException e) {
      throw new SettingsException(firstLine(e));
    }
    if (!settings.isHelp() && !settings.isVersion()) {
      settings.check();
    }
    return settings;
  }

  private static String firstLine(ParseException e) {
    String message = e.getMessage() == null ? e.toString() : e.getMessage();
    return message.lines().findFirst().orElse(message);
  }

  /** Returns the flags and values of the set variables whose flag is not given. */
  private static List<String> fromEnvironment(List<String> args, Map<String, String> environment) {
    List<String> flags = new ArrayList<>();
    Set<String> known = allFlags().stream().map(Settings::toVariable).collect(Collectors.toSet());
    for (Map.Entry<String, String> entry : environment.entrySet()) {
      String variable = entry.getKey();
      if (!variable.startsWith(VARIABLE_PREFIX) || variable.startsWith(CTL_PREFIX)) {
        continue;
      }
      if (!known.contains(variable)) {
        throw new SettingsException("unknown environment variable " + variable);
      }
      String flag = toFlag(variable);
      boolean isGiven = args.stream().anyMatch(a -> a.equals(flag) || a.startsWith(flag + "="));
      if (!isGiven) {
        flags.add(flag);
        flags.add(entry.getValue());
      }
    }
    return flags;
  }

  /** Returns all flags that have an environment variable, in the order of the help. */
  public static List<String> allFlags() {
    return COMMAND.getCommandMetadata().getAllOptions().stream()
        .map(OptionMetadata::getOptions)
        .flatMap(Set::stream)
        .filter(flag -> flag.startsWith("--") && !FLAGS_WITHOUT_VARIABLE.contains(flag))
        .toList();
  }

  /** Returns the environment variable of a flag. */
  public static String toVariable(String flag) {
    return VARIABLE_PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
  }

  private static String toFlag(String variable) {
    String name = variable.substring(VARIABLE_PREFIX.length());
    return "--" + name.toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private void check() {
    parseAddress("--caller-listen", options.callerListen);
    parseAddress("--ops-listen", options.opsListen);
    parseAddress("--peer-listen", options.peerListen);
    if (options.peerAdvertise != null) {
      parseAddress("--peer-advertise", options.peerAdvertise);
    }
    checkUrl("--log-url", options.logUrl);
    checkUrl("--boxes-url", options.boxesUrl);
    checkDistinct("--caller-listen", options.callerListen, "--ops-listen", options.opsListen);
    checkDistinct("--caller-listen", options.callerListen, "--peer-listen", options.peerListen);
    checkDistinct("--ops-listen", options.opsListen, "--peer-listen", options.peerListen);
    checkLess("--probe-ms", options.probeMs, "--evidence-ms", options.evidenceMs);
    checkLess("--evidence-ms", options.evidenceMs, "--lost-ms", options.lostMs);
    checkLess("--heartbeat-ms", options.heartbeatMs, "--contact-ms", options.contactMs);
    checkLess("--contact-ms", options.contactMs, "--quarantine-ms", options.quarantineMs);
    if (!options.logFormat.equals("text") && !options.logFormat.equals("json")) {
      throw new SettingsException(
          "--log-format is '" + options.logFormat + "': text or json is expected");
    }
    if (options.nodeId.isBlank()) {
      throw new SettingsException("--node-id is empty");
    }
    if (!options.nodeId.matches("[A-Za-z0-9._-]{1,64}")) {
      throw new SettingsException(
          "--node-id is '" + options.nodeId + "': 1 to 64 letters, digits, . _ - are expected");
    }
  }

  private static void checkLess(String a, long valueA, String b, long valueB) {
    if (valueA >= valueB) {
      throw new SettingsException(
          a + " (" + valueA + ") must be less than " + b + " (" + valueB + ")");
    }
  }

  private static void checkDistinct(
      String a, @Nullable String valueA, String b, @Nullable String valueB) {
    if (valueA != null && valueA.equals(valueB) && !valueA.endsWith(":0")) {
      throw new SettingsException(a + " and " + b + " are both " + valueA);
    }
  }

  private static void checkUrl(String flag, @Nullable String value) {
    try {
      URI uri = URI.create(value == null ? "" : value);
      if (!"http".equals(uri.getScheme()) && !"https".equals(uri.getScheme())) {
        throw new IllegalArgumentException("not an http URL");
      }
    } catch (IllegalArgumentException e) {
      throw new SettingsException(flag + " is '" + value + "': an http or https URL is expected");
    }
  }

  /**
   * Parses an address.
   *
   * @param flag the flag to name in the error
   * @param value the text
   * @return the address
   * @throws SettingsException if it is not {@code host:port}
   */
  public static InetSocketAddress parseAddress(String flag, @Nullable String value) {
    String text = value == null ? "" : value;
    int colon = text.lastIndexOf(':');
    try {
      if (colon > 0) {
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (IllegalArgumentException e) {
      throw new SettingsException(flag + " is '" + text + "': host:port is expected");
    }
    throw new SettingsException(flag + " is '" + text + "': host:port is expected");
  }

  private static String orEmpty(@Nullable String value) {
    return value == null ? "" : value;
  }

  /** Returns true if the help is requested. */
  public boolean isHelp() {
    return options.isHelp;
  }

  /** Returns true if the version is requested. */
  public boolean isVersion() {
    return options.isVersion;
  }

  /** Returns the id of this process. */
  public String nodeId() {
    return options.nodeId;
  }

  /** Returns the availability zone of this process. */
  public String zone() {
    return orEmpty(options.zone);
  }

  /** Returns the address to serve callers at. */
  public InetSocketAddress callerListen() {
    return parseAddress("--caller-listen", options.callerListen);
  }

  /** Returns the address to serve operators at. */
  public InetSocketAddress opsListen() {
    return parseAddress("--ops-listen", options.opsListen);
  }

  /** Returns the address to serve peers at. */
  public InetSocketAddress peerListen() {
    return parseAddress("--peer-listen", options.peerListen);
  }

  /**
   * Returns the address at which peers reach this process, or an empty string for the listening
   * address.
   */
  public String peerAdvertise() {
    return orEmpty(options.peerAdvertise);
  }

  /** Returns the URL of the platform's log. */
  public String logUrl() {
    return orEmpty(options.logUrl);
  }

  /** Returns the URL of the platform's list of boxes. */
  public String boxesUrl() {
    return orEmpty(options.boxesUrl);
  }

  /** Returns the secret that all processes share. */
  public String peerToken() {
    return orEmpty(options.peerToken);
  }

  /** Returns the secret that operators must send. */
  public String operatorToken() {
    return orEmpty(options.operatorToken);
  }

  /** Returns the timing of the membership protocol. */
  public MembershipTiming membershipTiming() {
    return MembershipTiming.of(options.heartbeatMs);
  }

  /** Returns how long contact with the log or the peers is valid, in nanoseconds. */
  public long contactNanos() {
    return options.contactMs * 1_000_000;
  }

  /** Returns the timing of the replica owner's decisions. */
  public ReplicaTiming replicaTiming() {
    return ReplicaTiming.ofMs(
        options.evidenceMs,
        options.lostMs,
        options.loadMs,
        options.orderMs,
        options.quarantineMs,
        options.drainMs);
  }

  /** Returns the interval between probes of a box, in milliseconds. */
  public long probeMs() {
    return options.probeMs;
  }

  /**
   * Returns how long an order or record may have no effect before it is repeated, in milliseconds.
   */
  public long orderMs() {
    return options.orderMs;
  }

  /** Returns the maximum wait for running requests when draining, in milliseconds. */
  public long drainMs() {
    return options.drainMs;
  }

  /** Returns how long new requests are accepted after the process is unready, in milliseconds. */
  public long unreadyMs() {
    return options.unreadyMs;
  }

  /** Returns the maximum size of a request body, in bytes. */
  public long maxBodyBytes() {
    return options.maxBodyBytes;
  }

  /** Returns the maximum unsent part of an answer to a slow caller, in bytes. */
  public long maxUnsentBytes() {
    return options.maxUnsentBytes;
  }

  /** Returns the number of intent streams. */
  public int intentShards() {
    return Math.toIntExact(options.intentShards);
  }

  /** Returns the maximum age of a key, in milliseconds. */
  public long intentWindowMs() {
    return options.intentWindowMs;
  }

  /** Returns the minimum interval between appends to an intent stream, in milliseconds. */
  public long intentAppendMs() {
    return options.intentAppendMs;
  }

  /** Returns the number of control records after which a checkpoint is appended. */
  public long checkpointRecords() {
    return options.checkpointRecords;
  }

  /** Returns the maximum time between checkpoints, in nanoseconds. */
  public long checkpointNanos() {
    return options.checkpointMs * 1_000_000;
  }

  /** Returns true if log lines are JSON. */
  public boolean isLogJson() {
    return options.logFormat.equals("json");
  }
}
