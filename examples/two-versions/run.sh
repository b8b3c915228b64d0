#!/usr/bin/env bash
# Serves one deployment with two builds side by side, with the stand-ins of review/. OLD and NEW are folders with a
# clone in which the build command of deploy/system.toml has been run. RECORD names the file for the record of the run
# (default: record.txt in this folder). Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
set -eu
OLD=$(cd "$OLD" && pwd)
NEW=$(cd "$NEW" && pwd)
export OLD NEW
cd "$(dirname "$0")"
export RECORD=${RECORD:-$PWD/record.txt}
bash ../../review/build.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
javac -Xlint:-options --release 17 -cp ../../review/target/classes -d "$work/classes" TwoVersions.java
java -Xmx512m -cp "../../review/target/classes:$work/classes" TwoVersions "$work/current/two-versions/case"
