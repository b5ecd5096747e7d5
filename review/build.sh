#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs a JDK only; run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -d target/classes src/*.java
