#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
test -s "$root/target/edge/shoreroad.jar" && test -d "$root/target/review/review" || exit 2
folder="$(mktemp -d)" || exit 2
trap 'test -z "${driver:-}" || kill "$driver"; rm -rf "$folder"; exit 2' INT TERM
java -Xmx256m -cp "$root/target/review" review.LargeAnswers \
  "$root" "$folder" "${TROUBLE:-1}" "$here/record.txt" &
driver=$!
wait "$driver"
status=$?
rm -rf "$folder"
exit $status
