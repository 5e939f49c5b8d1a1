#!/bin/sh
# Builds the stand-ins of the cases with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/standins/src/review/*.java
