package org.shoreroad.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import java.io.IOException;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.settings.DaemonOptions;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.daemon.settings.SettingsException;

/**
 * The entry point of the daemon.
 *
 * <p>Exit codes: 0 after a drained stop, 1 if the start fails, such as when a port can't be bound,
 * and 2 if a setting is invalid.
 *
 * @since 0.1
 */
public final class Main {
  /** The version of this program. */
  public static final String VERSION = "0.1.0";

  private static final int START_FAILED_EXIT_CODE = 1;
  private static final String LOG_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %c{1} %s%e%n";

  private Main() {}

  /** Runs the daemon. */
  public static void main(String[] args) throws IOException {
    Settings settings;
    try {
      settings = Settings.parse(args, System.getenv());
    } catch (SettingsException e) {
      System.err.println("shoreroad: " + e.getMessage());
      System.exit(Settings.EXIT_CODE);
      return;
    }
    if (settings.isHelp()) {
      Help.help(SingleCommand.singleCommand(DaemonOptions.class).getCommandMetadata(), System.out);
      return;
    }
    if (settings.isVersion()) {
      System.out.println("shoreroad " + VERSION);
      return;
    }
    setUpLogging(settings.isLogJson());
    try {
      Daemon daemon = Daemon.start(settings);
      System.out.println(
          "ready caller=" + port(daemon.callerAddress()) + " ops=" + port(daemon.opsAddress()));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
    } catch (ShoreroadException e) {
      System.err.println("shoreroad: " + e.getMessage());
      System.exit(START_FAILED_EXIT_CODE);
    } catch (RuntimeException | LinkageError e) {
      e.printStackTrace();
      System.exit(START_FAILED_EXIT_CODE);
    }
  }

  /**
   * Drains and stops, then exits with 0; after a signal the JVM itself would exit with another
   * code.
   */
  private static void stop(Daemon daemon) {
    daemon.drainAndStop();
    Runtime.getRuntime().halt(0);
  }

  private static int port(java.net.InetSocketAddress address) {
    return address.getPort();
  }

  private static void setUpLogging(boolean isJson) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler console = new ConsoleHandler();
    console.setLevel(Level.INFO);
    console.setFormatter(isJson ? new JsonFormatter() : new PatternFormatter(LOG_PATTERN));
    root.addHandler(console);
    root.setLevel(Level.INFO);
    for (String category : new String[] {"io.undertow", "org.xnio", "org.jboss.threads"}) {
      Logger.getLogger(category).setLevel(Level.WARNING);
    }
  }
}
