package org.shoreroad.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;
import org.jspecify.annotations.Nullable;

/** Creates sockets whose received bytes are checked to be answers of HTTP. Thread-safe. */
final class AnswerSocketFactory extends SocketFactory {
  @Override
  public Socket createSocket() {
    return new AnswerSocket();
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return connect(new InetSocketAddress(host, port), null);
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return connect(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
  }

  @Override
  public Socket createSocket(InetAddress host, int port) throws IOException {
    return connect(new InetSocketAddress(host, port), null);
  }

  @Override
  public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort)
      throws IOException {
    return connect(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
  }

  private static Socket connect(InetSocketAddress remote, @Nullable InetSocketAddress local)
      throws IOException {
    Socket socket = new AnswerSocket();
    try {
      if (local != null) {
        socket.bind(local);
      }
      socket.connect(remote);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
    return socket;
  }

  private static final class AnswerSocket extends Socket {
    private @Nullable InputStream checked;

    @Override
    public synchronized InputStream getInputStream() throws IOException {
      InputStream input = checked;
      if (input == null) {
        input = new AnswerInputStream(super.getInputStream());
        checked = input;
      }
      return input;
    }
  }
}
