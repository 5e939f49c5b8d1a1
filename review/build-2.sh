#!/bin/sh
# Builds the stand-ins of the scripts review/4 to review/8 into target/review2; needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review2
mkdir -p target/review2
javac -encoding UTF-8 -d target/review2 review/standins-2/src/review2/*.java
