package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP/1.1 server and reader of messages, one thread a connection. Loopback only. */
final class Http {
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** A message: the first line, the fields with lower-case names, and the body, all as sent. */
  record Message(String firstLine, Map<String, String> fields, byte[] body) {
    String method() {
      return firstLine.split(" ", 3)[0];
    }

    /** Returns the target of a request, one char a byte. */
    String target() {
      return firstLine.split(" ", 3)[1];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ", 3)[1]);
    }

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String query(String name) {
      int at = target().indexOf('?');
      if (at < 0) {
        return "";
      }
      for (String pair : target().substring(at + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return java.net.URLDecoder.decode(
              pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }
  }

  /** An answer. */
  record Answer(int status, Map<String, String> fields, byte[] body) {
    static Answer of(int status, String body) {
      return new Answer(status, new TreeMap<>(), body.getBytes(StandardCharsets.UTF_8));
    }

    Answer with(String name, String value) {
      fields.put(name, value);
      return this;
    }
  }

  /** Answers one request; returns null to close the connection without an answer. */
  interface Handler {
    Answer answer(Message request) throws Exception;
  }

  /** A server on a free port of an address. */
  static final class Server implements AutoCloseable {
    private final ServerSocket listening;
    private final Handler handler;
    private final List<Socket> open = new ArrayList<>();

    Server(String ip, int port, Handler handler) throws IOException {
      this.handler = handler;
      listening = new ServerSocket();
      listening.setReuseAddress(true);
      listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1_024);
      THREADS.execute(this::accept);
    }

    String address() {
      return listening.getInetAddress().getHostAddress() + ":" + listening.getLocalPort();
    }

    private void accept() {
      while (!listening.isClosed()) {
        try {
          Socket socket = listening.accept();
          socket.setTcpNoDelay(true);
          synchronized (open) {
            open.add(socket);
          }
          THREADS.execute(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
        OutputStream out = socket.getOutputStream();
        while (true) {
          Message request = read(in, true);
          if (request == null) {
            return;
          }
          Answer answer = handler.answer(request);
          if (answer == null) {
            return;
          }
          write(out, answer);
        }
      } catch (Exception e) {
        // The connection has ended.
      } finally {
        synchronized (open) {
          open.remove(socket);
        }
      }
    }

    @Override
    public void close() throws IOException {
      listening.close();
      synchronized (open) {
        for (Socket socket : open) {
          socket.close();
        }
      }
    }
  }

  static void write(OutputStream out, Answer answer) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status() + " X\r\n");
    answer.fields().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Length: " + answer.body().length + "\r\n\r\n");
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    all.write(answer.body());
    out.write(all.toByteArray());
    out.flush();
  }

  /** Reads a line, one char a byte; returns null at the end. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        int end = line.length();
        if (end > 0 && line.charAt(end - 1) == '\r') {
          line.setLength(end - 1);
        }
        return line.toString();
      }
      line.append((char) next);
    }
    return null;
  }

  /** Reads a message; returns null if the connection ends before it. */
  static Message read(InputStream in, boolean isRequest) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> fields = new TreeMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        fields.put(
            line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
            line.substring(colon + 1).trim());
      }
    }
    byte[] body = new byte[0];
    if (fields.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (String size = readLine(in); size != null; size = readLine(in)) {
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        if (length == 0) {
          readLine(in);
          break;
        }
        all.write(in.readNBytes(length));
        readLine(in);
      }
      body = all.toByteArray();
    } else if (fields.containsKey("content-length")) {
      int length = Integer.parseInt(fields.get("content-length"));
      body = in.readNBytes(length);
      if (body.length < length) {
        return null;
      }
    } else if (!isRequest) {
      body = in.readAllBytes();
    }
    return new Message(first, fields, body);
  }

  /** Connects to an address such as 127.0.0.1:80. */
  static Socket connect(String address, int timeoutMs) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        timeoutMs);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Sends raw bytes on a new connection and reads one answer; null if there is none in time. */
  static Message call(String address, String raw, int timeoutMs) {
    try (Socket socket = connect(address, 1_000)) {
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return read(new BufferedInputStream(socket.getInputStream()), false);
    } catch (SocketTimeoutException e) {
      return null;
    } catch (IOException e) {
      return null;
    }
  }
}
