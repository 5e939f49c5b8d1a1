#!/bin/sh
# Builds the process for the users' platform into target/, with an archive of its classes.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -Dmaven.test.skip=true -pl platform -am package
rm -rf target/edge
mkdir -p target/edge
cp platform/target/shoreroad-platform-0.1.0.jar target/edge/shoreroad.jar
cp -r platform/target/lib target/edge/lib
# The process is started for a moment, so that the classes it loads can be archived.
java -XX:ArchiveClassesAtExit=target/edge/classes.jsa -Xmx110m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -Xlog:cds=off -Xlog:cds+dynamic=off -jar target/edge/shoreroad.jar --rehearse >target/edge/rehearsal.log 2>&1
test -s target/edge/classes.jsa
