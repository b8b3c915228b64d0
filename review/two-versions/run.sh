#!/usr/bin/env bash
# Serves one deployment with two builds side by side. OLD and NEW are folders with a clone in which the build command
# of deploy/system.toml has been run. Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
cd "$(dirname "$0")"
exec java -Xmx512m -cp ../target/classes TwoVersions .
