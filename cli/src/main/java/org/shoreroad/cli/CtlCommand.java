package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.PrintStream;
import java.util.Map;

/** Base class of all commands: URL, operator token and output format. */
abstract class CtlCommand {
  static final String URL_VARIABLE = "SHOREROAD_CTL_URL";
  static final String TOKEN_VARIABLE = "SHOREROAD_OPERATOR_TOKEN";

  @Option(
      name = "--url",
      title = "url",
      description = "Operators' port of any process; or " + URL_VARIABLE + ".")
  String url = "";

  @Option(
      name = "--token",
      title = "secret",
      description = "Operator's token; or " + TOKEN_VARIABLE + ".")
  String token = "";

  @AllowedRawValues(allowedValues = {"table", "json"})
  @Option(name = "--output", title = "form", description = "table or json.")
  String output = "table";

  /**
   * Runs the command.
   *
   * @param out the stream for the result
   * @param environment the environment variables
   * @return the exit code of the process
   * @throws CommandException if the command fails
   */
  abstract ExitCode run(PrintStream out, Map<String, String> environment);

  OpsClient client(Map<String, String> environment) {
    String effectiveUrl = url.isEmpty() ? environment.getOrDefault(URL_VARIABLE, "") : url;
    if (effectiveUrl.isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "--url or " + URL_VARIABLE + " is required");
    }
    String effectiveToken = token.isEmpty() ? environment.getOrDefault(TOKEN_VARIABLE, "") : token;
    return new OpsClient(effectiveUrl, effectiveToken);
  }

  void print(PrintStream out, JsonNode answer) {
    if (output.equals("json")) {
      out.println(answer.toPrettyString());
    } else if (answer.isArray()) {
      out.print(Table.of(answer));
    } else {
      answer
          .properties()
          .forEach(
              field -> {
                if (field.getValue().isArray() && field.getValue().path(0).isObject()) {
                  out.println(field.getKey() + ":");
                  out.print(Table.of(field.getValue()));
                } else {
                  out.println(field.getKey() + ": " + text(field.getValue()));
                }
              });
    }
  }

  private static String text(JsonNode value) {
    return value.isContainerNode() ? value.toString() : value.asText();
  }
}
