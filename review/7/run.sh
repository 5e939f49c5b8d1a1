#!/bin/sh
# Exits with 1 if UNASKED was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
test -d "$root/target/review2" || exit 2
exec timeout -k 5 110 java -cp "$root/target/review2" review2.TenantNames "$root" "$here/record.txt"
