#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases; needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:-options --release 17 -d target/classes standins/*.java
