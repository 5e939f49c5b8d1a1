package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.io.PrintStream;
import java.util.Map;

/** What all commands share: where to call, as whom, and how to print. */
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
  @Option(name = "--output", title = "form", description = "table (for people) or json.")
  String output = "table";

  /**
   * Runs the command.
   *
   * @param out where it prints
   * @param environment the environment variables
   * @return what the process exits with
   * @throws CommandException if it fails
   */
  abstract ExitCode run(PrintStream out, Map<String, String> environment);

  OpsClient client(Map<String, String> environment) {
    String givenUrl = url.isEmpty() ? environment.getOrDefault(URL_VARIABLE, "") : url;
    if (givenUrl.isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "--url or " + URL_VARIABLE + " is needed");
    }
    String givenToken = token.isEmpty() ? environment.getOrDefault(TOKEN_VARIABLE, "") : token;
    return new OpsClient(givenUrl, givenToken);
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
