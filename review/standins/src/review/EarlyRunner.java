package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A plain runner in a process of its own. It begins its answer before it has read a long body, holds
 * the channel open, reads the rest of the body, then sends the rest of the answer and ends the
 * channel. Its answers to long requests lack a length. It prints its port, and a line for each step.
 */
public final class EarlyRunner {
  private static final int LINES = 400;
  private static final int RECEIVE_BUFFER_BYTES = 32_768;
  private static final int LONG_BODY_BYTES = 100_000;

  private EarlyRunner() {}

  /** Returns the whole answer to a request. */
  static String wholeAnswer(String attempt) {
    StringBuilder text = new StringBuilder();
    for (int i = 1; i <= LINES; i++) {
      text.append("line ").append(i).append(" of ").append(LINES).append(" for ").append(attempt);
      text.append('\n');
    }
    return text.toString();
  }

  public static void main(String[] arguments) throws Exception {
    String id = arguments[0];
    ServerSocket listening = new ServerSocket();
    listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    say("port " + listening.getLocalPort());
    while (true) {
      Socket socket = listening.accept();
      Threads.daemon("connection", () -> serve(id, socket));
    }
  }

  private static synchronized void say(String line) {
    System.out.println(line);
    System.out.flush();
  }

  private static void serve(String id, Socket socket) throws Exception {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 8_192);
      OutputStream out = socket.getOutputStream();
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        String attempt = head.header("Shoreroad-Attempt-Id");
        String expected = head.header("Shoreroad-Expect-Instance");
        String answerHead =
            "Shoreroad-Attempt-Id: " + attempt + "\r\nShoreroad-Response-Seal: " + id + "."
                + attempt + "\r\n";
        if (!expected.isEmpty() && !expected.equals(id)) {
          out.write(Wire.bytes("HTTP/1.1 421 -\r\nShoreroad-Not-Executed: 1\r\n"
              + answerHead + "Content-Length: 0\r\n\r\n"));
          continue;
        }
        String length = head.header("content-length");
        int bodyBytes = length.isEmpty() ? 0 : Integer.parseInt(length);
        String answer = wholeAnswer(attempt);
        if (bodyBytes < LONG_BODY_BYTES) {
          Wire.readExactly(in, bodyBytes);
          out.write(Wire.bytes("HTTP/1.1 200 OK\r\n" + answerHead
              + "Content-Length: " + answer.length() + "\r\n\r\n" + answer));
          continue;
        }
        int half = answer.length() / 2;
        out.write(Wire.bytes("HTTP/1.1 200 OK\r\n" + answerHead + "\r\n"
            + answer.substring(0, half)));
        say("began " + attempt);
        byte[] part = new byte[16_384];
        for (int left = bodyBytes; left > 0; ) {
          int read = in.read(part, 0, Math.min(left, part.length));
          if (read < 0) {
            return;
          }
          left -= read;
          Thread.sleep(20);
        }
        out.write(Wire.bytes(answer.substring(half)));
        say("ended " + attempt);
        return;
      }
    }
  }
}
