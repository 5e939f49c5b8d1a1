#!/bin/sh
# Builds the process for the users' platform into target/, with an archive of its classes.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -pl platform -am package
rm -rf target/edge
mkdir -p target/edge
cp platform/target/shoreroad-platform-0.1.0.jar target/edge/shoreroad.jar
cp -r platform/target/lib target/edge/lib
