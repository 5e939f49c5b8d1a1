package org.shoreroad.edge.relay;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports of 127.0.0.1 that a test may close and open again. They are below the ephemeral ports of
 * the system, one of which an outgoing connection could take meanwhile. Thread-safe.
 */
final class TestPorts {
  private static final int FIRST_PORT = 10_000;
  private static final int BLOCK_PORTS = 400;

  /** Test runs on one machine usually have different blocks. */
  private static final int BLOCKS = 25;

  private static final int FIRST_OF_BLOCK =
      FIRST_PORT + (int) (ProcessHandle.current().pid() % BLOCKS) * BLOCK_PORTS;

  private static int next;

  private TestPorts() {}

  /** Opens the next free port of this test run. */
  static synchronized ServerSocket listen(int backlog) throws IOException {
    for (int i = 0; i < BLOCK_PORTS; i++) {
      int port = FIRST_OF_BLOCK + next++ % BLOCK_PORTS;
      try {
        return new ServerSocket(port, backlog, InetAddress.getLoopbackAddress());
      } catch (BindException e) {
        // In use by another program.
      }
    }
    throw new BindException("no free port from " + FIRST_OF_BLOCK + " on");
  }
}
