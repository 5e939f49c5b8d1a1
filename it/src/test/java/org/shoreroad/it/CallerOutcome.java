package org.shoreroad.it;

/**
 * What one caller sent and got.
 *
 * @param prompt the request's text, unique among all logical requests
 * @param tokens how many tokens were asked for
 * @param isRepeatable whether it may be run more than once
 * @param answer what came back
 */
record CallerOutcome(String prompt, int tokens, boolean isRepeatable, Site.Answer answer) {}
