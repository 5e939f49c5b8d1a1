package org.shoreroad.daemon.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.config.Configuration;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.config.ServiceSpec;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.member.ContactPolicy;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.settings.Settings;
import org.xnio.Options;

/**
 * HTTP service for callers: checks requests, claims the keys of requests that may not be repeated,
 * and forwards them to owners and services.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class GatewayService implements Service {
  /** The name of this service. */
  public static final String NAME = "gateway";

  private static final String CHAT_PATH = "/v1/chat/completions";
  private static final String MODELS_PATH = "/v1/models";
  private static final String SERVICES_PATH = "/services/";
  private static final int CHECK_THREADS = 4;
  private static final int SERVICE_THREADS = 128;
  private static final int MAX_QUEUED = 4_096;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_HEADERS = 100;
  private static final int REQUEST_TIMEOUT_MS = 30_000;
  private static final long CONTACT_RETRY_MS = 2_000;
  private static final long LIMIT_RETRY_MS = 1_000;

  private final Settings settings;
  private final ContactPolicy contact;
  private final Metrics metrics;
  private final GatewayContext context;
  private final ServiceClient services;
  private final ObjectMapper mapper = new ObjectMapper();
  private final Admission admission = new Admission();
  private final ClaimGate claims;
  private final ThreadPoolExecutor checks = newPool("gateway", CHECK_THREADS);
  private final ThreadPoolExecutor serviceCalls = newPool("service-call", SERVICE_THREADS);
  private final ScheduledThreadPoolExecutor timer;
  private @Nullable Undertow server;
  private volatile boolean isIntakeClosed;

  /** Creates the gateway; {@link #start} opens its port. */
  @Inject
  public GatewayService(
      Settings settings,
      ControlLog control,
      OwnerService owner,
      OwnerLink link,
      IntentClient intents,
      ContactPolicy contact,
      RequestTrace trace,
      Metrics metrics) {
    this.settings = settings;
    this.contact = contact;
    this.metrics = metrics;
    this.timer = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, "gateway-timer"));
    this.context =
        new GatewayContext(
            control, owner, link, intents, new UpstreamRegistry(), trace, metrics, settings, timer);
    this.services = new ServiceClient(context);
    this.claims = new ClaimGate(intents, trace, this::refuseOnIoThread);
  }

  private static ThreadPoolExecutor newPool(String name, int threads) {
    ThreadPoolExecutor pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            10,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAX_QUEUED),
            task -> daemonThread(task, name));
    pool.allowCoreThreadTimeOut(true);
    return pool;
  }

  private static Thread daemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    metrics.gauge("shoreroad.gateway.requests.open", admission::openCount);
    InetSocketAddress address = settings.callerListen();
    Undertow built =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString(), this::handle)
            .setWorkerOption(Options.WORKER_NAME, NAME)
            .setIoThreads(2)
            .setWorkerThreads(2)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_TIMEOUT_MS)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 2 * REQUEST_TIMEOUT_MS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.maxBodyBytes())
            .build();
    try {
      built.start();
    } catch (RuntimeException e) {
      throw ShoreroadException.notRun(
          ErrorCode.INTERNAL, "--caller-listen " + address + " can't be bound: " + e.getMessage());
    }
    server = built;
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
    checks.shutdownNow();
    serviceCalls.shutdownNow();
    timer.shutdownNow();
  }

  /**
   * Returns the address of the callers' port.
   *
   * @throws IllegalStateException if the service is not started
   */
  public InetSocketAddress address() {
    Undertow started = server;
    if (started == null) {
      throw new IllegalStateException("not started");
    }
    return (InetSocketAddress) started.getListenerInfo().get(0).getAddress();
  }

  /** Refuses every new request from now on; open requests continue. */
  public void closeIntake() {
    isIntakeClosed = true;
  }

  /** Returns the number of open requests. */
  public int openCount() {
    return admission.openCount();
  }

  private void handle(HttpServerExchange exchange) {
    if (isIntakeClosed) {
      exchange.setPersistent(false);
      refuse(
          exchange,
          ShoreroadException.notRun(
              ErrorCode.STOPPING, "this process is stopping", LIMIT_RETRY_MS));
      return;
    }
    String path = exchange.getRequestPath();
    String method = exchange.getRequestMethod().toString();
    if (path.equals(CHAT_PATH)) {
      handleBody(exchange, method, "POST", bytes -> checkChat(exchange, bytes), checks);
    } else if (path.equals(MODELS_PATH)) {
      handleBody(exchange, method, "GET", bytes -> sendModels(exchange), checks);
    } else if (path.startsWith(SERVICES_PATH)) {
      handleBody(exchange, method, method, bytes -> checkService(exchange, bytes), serviceCalls);
    } else {
      refuse(exchange, ShoreroadException.notRun(ErrorCode.NOT_FOUND, "unknown path: " + path));
    }
  }

  private void handleBody(
      HttpServerExchange exchange,
      String method,
      String allowedMethod,
      Consumer<byte[]> task,
      ThreadPoolExecutor pool) {
    if (!method.equals(allowedMethod)) {
      exchange.getResponseHeaders().put(new io.undertow.util.HttpString("Allow"), allowedMethod);
      refuse(
          exchange,
          ShoreroadException.notRun(ErrorCode.METHOD_NOT_ALLOWED, "use " + allowedMethod));
      return;
    }
    if (exchange.getRequestContentLength() > settings.maxBodyBytes()) {
      refuse(exchange, tooLarge());
      return;
    }
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(Math.toIntExact(settings.maxBodyBytes()));
    receiver.receiveFullBytes(
        (received, bytes) -> dispatch(exchange, pool, () -> task.accept(bytes)),
        (received, error) ->
            refuse(
                exchange,
                error instanceof Receiver.RequestToLargeException
                    ? tooLarge()
                    : ShoreroadException.notRun(ErrorCode.BAD_REQUEST, "the body can't be read")));
  }

  private ShoreroadException tooLarge() {
    return ShoreroadException.notRun(
        ErrorCode.BODY_TOO_LARGE, "the body is larger than " + settings.maxBodyBytes() + " bytes");
  }

  private void dispatch(HttpServerExchange exchange, ThreadPoolExecutor pool, Runnable task) {
    exchange.dispatch(
        (Runnable command) -> {
          try {
            pool.execute(command);
          } catch (RejectedExecutionException e) {
            refuseOnIoThread(exchange, queueFull());
          }
        },
        () -> {
          try {
            task.run();
          } catch (ShoreroadException e) {
            refuseOnIoThread(exchange, e);
          }
        });
  }

  private void refuse(HttpServerExchange exchange, ShoreroadException failure) {
    metrics.countRefusal(failure.code(), failure.verdict());
    CallerAnswer.sendError(exchange, failure, ChatRequest.newId());
  }

  private void refuseOnIoThread(HttpServerExchange exchange, ShoreroadException failure) {
    exchange.getIoThread().execute(() -> refuse(exchange, failure));
  }

  private Configuration configuration() {
    return context.control().state().configuration();
  }

  private void sendModels(HttpServerExchange exchange) {
    Caller.findAccount(exchange, configuration());
    ObjectNode root = mapper.createObjectNode();
    root.put("object", "list");
    ArrayNode data = root.putArray("data");
    for (ModelSpec model : configuration().all(ModelSpec.class)) {
      data.addObject().put("id", model.name()).put("object", "model").put("owned_by", "shoreroad");
    }
    new CallerAnswer(exchange, ChatRequest.newId(), settings.maxUnsentBytes(), () -> {})
        .sendComplete(200, "application/json", root.toString().getBytes(StandardCharsets.UTF_8));
  }

  private void checkChat(HttpServerExchange exchange, byte[] bytes) {
    long arrivedNanos = System.nanoTime();
    Configuration configuration = configuration();
    Caller.findAccount(exchange, configuration);
    ChatBody chat = ChatBody.parse(bytes);
    if (configuration.model(chat.model()).isEmpty()) {
      throw ShoreroadException.notRun(
          ErrorCode.UNKNOWN_MODEL, "no model '" + chat.model() + "' is declared");
    }
    Caller caller = checkCaller(exchange, configuration, "model/" + chat.model());
    ChatRequest request = new ChatRequest(ChatRequest.newId(), caller, chat, bytes, arrivedNanos);
    Runnable release = admission.acquire(caller.account());
    claims.claimIfRequired(
        caller,
        request.requestId(),
        exchange,
        release,
        claim -> startChat(exchange, request, claim, release));
  }

  private void startChat(
      HttpServerExchange exchange,
      ChatRequest request,
      IntentClient.@Nullable Claim claim,
      Runnable release) {
    ChatExchange[] holder = new ChatExchange[1];
    CallerAnswer answer =
        new CallerAnswer(
            exchange, request.requestId(), settings.maxUnsentBytes(), () -> holder[0].abandon());
    holder[0] = new ChatExchange(context, request, answer, claim, release);
    exchange.getConnection().addCloseListener(closed -> holder[0].abandon());
    holder[0].start();
  }

  private void checkService(HttpServerExchange exchange, byte[] bytes) {
    Configuration configuration = configuration();
    String rest = exchange.getRequestPath().substring(SERVICES_PATH.length());
    String name = rest.split("/", 2)[0];
    Caller.findAccount(exchange, configuration);
    ServiceSpec service =
        configuration
            .service(name)
            .orElseThrow(
                () ->
                    ShoreroadException.notRun(
                        ErrorCode.NOT_FOUND, "no service '" + name + "' is declared"));
    Caller caller = checkCaller(exchange, configuration, service.key());
    ServiceClient.ServiceCall call = ServiceClient.ServiceCall.of(exchange, caller, service, bytes);
    Runnable release = admission.acquire(caller.account());
    claims.claimIfRequired(
        caller,
        call.requestId(),
        exchange,
        release,
        claim -> startService(exchange, call, claim, release));
  }

  private void startService(
      HttpServerExchange exchange,
      ServiceClient.ServiceCall call,
      IntentClient.@Nullable Claim claim,
      Runnable release) {
    CallerAnswer answer =
        new CallerAnswer(exchange, call.requestId(), settings.maxUnsentBytes(), () -> {});
    try {
      serviceCalls.execute(
          () -> {
            try {
              services.run(call, answer, claim);
            } finally {
              release.run();
            }
          });
    } catch (RejectedExecutionException e) {
      release.run();
      if (claim != null) {
        context.intents().withdraw(claim);
      }
      refuseOnIoThread(exchange, queueFull());
    }
  }

  private static ShoreroadException queueFull() {
    return ShoreroadException.notRun(
        ErrorCode.QUEUE_FULL, "the gateway's queue is full", LIMIT_RETRY_MS);
  }

  private Caller checkCaller(
      HttpServerExchange exchange, Configuration configuration, String target) {
    Caller caller =
        Caller.check(
            exchange, configuration, target, System.currentTimeMillis(), settings.intentWindowMs());
    if (!contact.mayServe(System.nanoTime())) {
      throw ShoreroadException.notRun(
          ErrorCode.OUT_OF_CONTACT,
          "this process reaches neither the log nor enough peers",
          CONTACT_RETRY_MS);
    }
    return caller;
  }
}
