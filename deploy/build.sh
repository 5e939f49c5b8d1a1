#!/bin/sh
# Builds the process for the users' platform into target/, with an archive of its classes.
set -eu
cd "$(dirname "$0")/.."
out=target/edge
mvn -q -B -Dmaven.test.skip=true -pl platform -am package
rm -rf $out
mkdir -p $out
# One jar: a class path of 35 jars costs 0.1 s of processor time at each start.
cp platform/target/shoreroad-platform-0.1.0-all.jar $out/shoreroad.jar
# The process is started for a moment to list the classes that it loads. One archive then holds them
# and those of the JDK; a second one on top of the JDK's own costs 0.04 s more at each start.
options="-Xmx110m -XX:TieredStopAtLevel=1 -Xlog:cds=off -Xlog:cds+dynamic=off"
java -XX:DumpLoadedClassList=$out/classes.list -XX:+UseSerialGC $options \
  -jar $out/shoreroad.jar --rehearse >$out/rehearsal.log 2>&1
# The heap objects of an archive are written by this collector alone.
java -Xshare:dump -XX:SharedClassListFile=$out/classes.list -XX:SharedArchiveFile=$out/classes.jsa \
  -XX:+UseG1GC $options -jar $out/shoreroad.jar >$out/archive.log 2>&1
test -s $out/classes.jsa
